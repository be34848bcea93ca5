package jsonsize

import (
	"encoding/json"
	"strings"
	"testing"

	"pgregory.net/rapid"

	_ "github.com/godwitlink/godwitlink/internal/rapidseed"
)

// Guards against values that are not counted, and against skipped fields that are.
func TestDecoded(t *testing.T) {
	for text, want := range map[string]int64{
		``:                                  0,
		`{}`:                                objectBytes,
		`{"a":[]}`:                          objectBytes + valueBytes,
		`{"a":[{},{ },{}]}`:                 4*objectBytes + valueBytes,
		`{"a":[1,-2.5e3, true,null,""]}`:    objectBytes + 6*valueBytes,
		`{"a":["x{[,:\"]","y"]}`:            objectBytes + 3*valueBytes,
		`{"other":[{},{},1]}`:               objectBytes,
		`{"other":[{},{}],"a":[{}]}`:        2*objectBytes + valueBytes,
		`{"A" : [{}]}`:                      2*objectBytes + valueBytes,
		`{"\u0061":[{}]}`:                   2*objectBytes + valueBytes,
		`{"a":[{"other":[{}]}],"b":"text"}`: 3*objectBytes + 2*valueBytes,
		`{"a":[{}],"a":[{},{}]}`:            4*objectBytes + 2*valueBytes,
		`{"a":"`:                            objectBytes + valueBytes,
	} {
		if got := Decoded([]byte(text), "a").Values; got != want {
			t.Errorf("%s: %d, want %d", text, got, want)
		}
	}
}

// Guards against values that are not counted where a decoder skips no field.
func TestDecodedWithoutFields(t *testing.T) {
	if got, want := Decoded([]byte(`{"a":[{}],"b":1}`)).Values, int64(2*objectBytes+2*valueBytes); got != want {
		t.Errorf("%d, want %d", got, want)
	}
}

// Guards against invalid text that becomes longer than it is counted.
func TestInvalidTextIsReplaced(t *testing.T) {
	for _, value := range []string{"plain", "ä€", strings.Repeat("\xff", 100), "\xe2\x82", "a\xc3"} {
		text := []byte(`{"a":"` + value + `"}`)
		var decoded struct{ A string }
		if err := json.Unmarshal(text, &decoded); err != nil {
			t.Fatal(err)
		}
		if got, least := Decoded(text, "a").Text, int64(len(text)-len(value)+len(decoded.A)); got < least {
			t.Errorf("%q: %d bytes, want at least %d", value, got, least)
		}
	}
}

// Guards against values of nested texts of any shape that are counted too low.
func TestRandomisedTextsAreCounted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var objects, others int64
		var draw func(depth int) any
		draw = func(depth int) any {
			kind := rapid.IntRange(0, 5).Draw(t, "kind")
			if depth == 0 {
				kind = min(kind, 3)
			}
			switch kind {
			case 4:
				objects++
				object := map[string]any{}
				for _, name := range rapid.SliceOfN(rapid.String(), 0, 4).Draw(t, "names") {
					if _, known := object[name]; !known {
						object[name] = draw(depth - 1)
					}
				}
				return object
			case 5:
				others++
				list := []any{}
				for range rapid.IntRange(0, 4).Draw(t, "length") {
					list = append(list, draw(depth-1))
				}
				return list
			}
			others++
			return []any{nil, true, rapid.Float64Range(-1e9, 1e9).Draw(t, "number"), rapid.String().Draw(t, "text")}[kind]
		}
		text, err := json.Marshal(map[string]any{"a": draw(4)})
		if err != nil {
			t.Fatal(err)
		}
		if got, want := Decoded(text, "a").Values, (objects+1)*objectBytes+others*valueBytes; got != want {
			t.Errorf("%s: %d, want %d", text, got, want)
		}
	})
}

// Guards against reading beyond the end of a text that is cut off anywhere.
func FuzzDecoded(f *testing.F) {
	f.Add([]byte(`{"a":[{"b":"\u0061\\"},1,null],"c":"ä"}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		if got := Decoded(text, "a"); got.Values < 0 || got.Text < int64(len(text)) {
			t.Errorf("%+v", got)
		}
	})
}
