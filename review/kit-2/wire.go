package main

import (
	_ "embed"
	"encoding/json"
)

// The names of the platform's protocol that the repository's code leaves to the adapter.
//
//go:embed wire/names.json
var wireFile []byte

var wireNames = func() (names map[string]string) {
	if err := json.Unmarshal(wireFile, &names); err != nil {
		panic(err)
	}
	return names
}()

// wire returns a name of the platform's protocol.
func wire(key string) string {
	name, ok := wireNames[key]
	if !ok {
		panic("no name for " + key)
	}
	return name
}

// header returns the whole name of a header of the platform.
func header(name string) string { return wire("header-prefix") + name }
