// Package serializer encodes values that are stored, or sent within a message, as CBOR, and
// decodes them. Both directions share one set of limits, so that what a writer encodes its readers
// can decode.
package serializer

import (
	"math"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/annotator"
)

const (
	// maxNesting limits the depth of a value in levels of lists and maps.
	maxNesting = 32
	// maxElements limits the entries of a list or map. Each entry takes a byte at least, so that
	// the size of the data is the tighter limit.
	maxElements = math.MaxInt32
)

// ErrUnreadable means that a value can't be encoded such that readers can decode it.
var ErrUnreadable = errors.New("value exceeds the limits of its readers")

var (
	// encoding is canonical: equal values have equal bytes.
	encoding = mustMode(cbor.CoreDetEncOptions().EncMode())
	// decoding accepts text that is not UTF-8, as callers' ids and targets' headers may be.
	decoding = mustMode(cbor.DecOptions{
		MaxNestedLevels: maxNesting, MaxArrayElements: maxElements, MaxMapPairs: maxElements,
		UTF8: cbor.UTF8DecodeInvalid,
	}.DecMode())
)

func mustMode[M any](mode M, err error) M {
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the encoding of v. It returns ErrUnreadable if Decode would reject that.
func Encode(v any) (data []byte, err error) {
	defer annotator.Annotate(&err, "encode %T", v)
	if data, err = encoding.Marshal(v); err != nil {
		return nil, err
	}
	if err := decoding.Wellformed(data); err != nil {
		return nil, errors.Wrap(ErrUnreadable, err.Error())
	}
	return data, nil
}

// Decode sets the value that v points to. After an error that value may be incomplete.
func Decode(data []byte, v any) (err error) {
	defer annotator.Annotate(&err, "decode %T", v)
	return decoding.Unmarshal(data, v)
}
