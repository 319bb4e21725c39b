package encoder_test

import (
	"fmt"

	"github.com/lycheeladder/lycheeladder/ladder/encoder"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// A frame that deviates from the format is an error.
func Example() {
	e, err := encoder.New()
	if err != nil {
		fmt.Println(err)
		return
	}
	frame, _ := e.Encode(messenger.Release{Request: "r", Attempt: 1})
	m, err := e.Decode(frame)
	fmt.Printf("%+v %v\n", m, err)
	_, err = e.Decode(append(frame, 0))
	fmt.Println(err != nil)
	// Output:
	// {Request:r Attempt:1} <nil>
	// true
}
