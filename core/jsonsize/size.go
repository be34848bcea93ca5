// Package jsonsize estimates the memory that a JSON text takes once it is decoded, without allocating any. A text of
// many small elements takes many times its size: an empty object of two bytes may become a structure of 200.
package jsonsize

import (
	"strings"
	"unicode/utf8"
)

const (
	// objectBytes and valueBytes are what an object and any other value may take: its part of a slice that has
	// grown, with the former one, and what is made from it for the command to the control group.
	objectBytes = 1 << 10
	valueBytes  = 48
	// replacementBytes is how much longer a byte of invalid text becomes when it is replaced by U+FFFD.
	replacementBytes = 2
)

// Size is what a text takes once it is decoded.
type Size struct {
	Text   int64 // bytes of the text, with what replaces invalid bytes
	Values int64 // bytes that its objects and other values take beside their text
}

// Decoded returns the size of a JSON text that is decoded into a structure with the given fields. The values of other
// fields are skipped by a decoder and take no memory. Without fields, all values count. For a text that is not valid JSON the result means nothing.
func Decoded(text []byte, fields ...string) Size {
	s := scanner{text: text, fields: fields, counts: true}
	for s.at < len(text) {
		s.step()
	}
	return Size{Text: int64(len(text)) + s.added, Values: s.values}
}

// scanner reads a text from left to right. Between two steps it is outside strings.
type scanner struct {
	text   []byte
	fields []string
	at     int
	depth  int
	// counts is set unless the scanner is in the value of a field that is skipped.
	counts bool
	// inValue is set within a number or literal.
	inValue       bool
	values, added int64
}

func (s *scanner) step() {
	c := s.text[s.at]
	switch c {
	case '"':
		s.inValue = false
		s.readString()
		return
	case '{':
		s.depth++
		s.inValue = false
		s.count(objectBytes)
	case '[':
		s.depth++
		s.inValue = false
		s.count(valueBytes)
	case '}', ']':
		s.depth--
		s.inValue = false
	case ',', ':', ' ', '\t', '\r', '\n':
		s.inValue = false
	default:
		if !s.inValue {
			s.inValue = true
			s.count(valueBytes)
		}
	}
	s.at++
}

func (s *scanner) count(bytes int64) {
	if s.counts {
		s.values += bytes
	}
}

// readString reads a string. The name of a field of the outermost object says whether its value counts.
func (s *scanner) readString() {
	s.at++
	start, escaped := s.at, false
	for s.at < len(s.text) && s.text[s.at] != '"' {
		switch c := s.text[s.at]; {
		case c == '\\':
			escaped = true
			s.at += 2
		case c < utf8.RuneSelf:
			s.at++
		default:
			r, size := utf8.DecodeRune(s.text[s.at:])
			if r == utf8.RuneError && size == 1 {
				s.added += replacementBytes
			}
			s.at += size
		}
	}
	s.at = min(s.at, len(s.text))
	name := s.text[start:s.at]
	s.at++
	switch {
	case !s.isName():
		s.count(valueBytes)
	case s.depth == 1:
		s.counts = len(s.fields) == 0 || escaped || s.isField(name)
	}
}

// isName reports whether the string that was just read is the name of a field, which takes no memory.
func (s *scanner) isName() bool {
	for i := s.at; i < len(s.text); i++ {
		switch s.text[i] {
		case ' ', '\t', '\r', '\n':
			continue
		case ':':
			return true
		}
		return false
	}
	return false
}

// isField reports whether a decoder takes a name for that of a field: it ignores case.
func (s *scanner) isField(name []byte) bool {
	for _, field := range s.fields {
		if strings.EqualFold(field, string(name)) {
			return true
		}
	}
	return false
}
