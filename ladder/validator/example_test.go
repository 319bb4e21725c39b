package validator_test

import (
	"fmt"

	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// Every fault comes at once, with its place, its value and what is allowed.
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
