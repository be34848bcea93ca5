package codec

import "github.com/fxamacker/cbor/v2"

// encoder writes the core deterministic form. Times are text with nanoseconds
// in UTC: the library's numeric forms lose the nanoseconds. Empty and absent
// lists have the same encoding, so that a restored state encodes like the
// original.
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

// decodeMode returns a strict decoder. It accepts text that is not UTF-8: an
// answer kept for replay may have such header lines, and a replica that refused
// a committed command could not go on.
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
