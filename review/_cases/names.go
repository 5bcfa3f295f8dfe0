package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
)

//go:embed names.json
var namesFile []byte

// names are the names of the users' platform: headers, paths and keys.
var names = readNames()

// protocolNames holds the content of names.json.
type protocolNames struct {
	RequestID   string `json:"request-id"`
	Deadline    string `json:"deadline"`
	Tokens      string `json:"tokens"`
	Prefix      string `json:"prefix"`
	Model       string `json:"model"`
	Instance    string `json:"instance"`
	NotExecuted string `json:"not-executed"`
	Seal        string `json:"seal"`
	Key         string `json:"key"`
	KeyScheme   string `json:"key-scheme"`
	Readiness   string `json:"readiness"`
	Entries     string `json:"entries"`
}

func readNames() protocolNames {
	var n protocolNames
	if err := json.Unmarshal(namesFile, &n); err != nil {
		panic(fmt.Errorf("read names.json: %w", err)) // Not reached: the file is part of the program.
	}
	return n
}
