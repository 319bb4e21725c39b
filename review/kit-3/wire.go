package main

import (
	_ "embed"
	"encoding/json"
)

// The names of the platform's protocol that the repository's Go code leaves to the adapter.
//
//go:embed wire/names.json
var wireFile []byte

// The configurations of the operator, as formats.
var (
	//go:embed wire/streams.json
	streamConfiguration string
	//go:embed wire/jobs.json
	jobConfiguration string
)

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
