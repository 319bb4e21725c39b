package main

import (
	"embed"
	"encoding/json"
	"strings"
)

// The names and templates of the platform's protocol, which the rest of the repository's code
// leaves to the adapter.
//
//go:embed wire
var wireFiles embed.FS

var wireNames = func() (names map[string]string) {
	if err := json.Unmarshal([]byte(template("names.json")), &names); err != nil {
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

// template returns the text of a file.
func template(file string) string {
	text, err := wireFiles.ReadFile("wire/" + file)
	if err != nil {
		panic(err)
	}
	return strings.TrimSuffix(string(text), "\n") + trailing(file)
}

// trailing returns the line feed with which a settings file ends.
func trailing(file string) string {
	if strings.HasSuffix(file, ".conf") {
		return "\n"
	}
	return ""
}
