package codec

import "github.com/fxamacker/cbor/v2"

// encoder writes the core deterministic form. Times are encoded as text in UTC with nanoseconds,
// because the library's numeric forms lose the nanoseconds. Empty and nil lists have the same
// encoding, so that a restored state encodes like the original.
var encoder = encodeMode()

func encodeMode() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeRFC3339NanoUTC
	options.NilContainers = cbor.NilContainerAsEmpty
	mode, err := options.EncMode()
	if err != nil {
		panic("codec: options of the encoder: " + err.Error())
	}
	return mode
}

// decodeMode returns a strict decoder. It accepts text that is not valid UTF-8: a stored answer
// may have such header values, and a replica that could not decode a committed command would have
// to stop.
func decodeMode(elements int) cbor.DecMode {
	options := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:   maxNesting,
		MaxArrayElements:  elements,
		MaxMapPairs:       maxMapPairs,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		UTF8:              cbor.UTF8DecodeInvalid,
		FieldNameMatching: cbor.FieldNameMatchingCaseSensitive,
	}
	mode, err := options.DecMode()
	if err != nil {
		panic("codec: options of the decoder: " + err.Error())
	}
	return mode
}
