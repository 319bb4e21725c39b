package validator_test

import (
	"fmt"

	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// All faults are returned at once, each with its path, value and the allowed
// values.
func ExampleValidate() {
	d := validator.Document{
		Schema: validator.SchemaName, ID: "0197", Author: "night-shift",
		Services: []validator.Service{{Name: "Spares", Kind: validator.KindPlain, Owner: "nobody", Slots: 0}},
	}
	for _, f := range validator.Validate(d)[:3] {
		fmt.Println(f.Path)
	}
	// Output:
	// operators
	// services[0].name
	// services[0].owner
}
