package main

import (
	"os"

	"rosemaryline.dev/fleet/config"
)

// loadFiles loads a configuration from a base file and, if there is a second argument, a site overlay.
func loadFiles(args []string) (*config.Document, error) {
	base, err := readFile(args[0])
	if err != nil {
		return nil, err
	}
	names := [2]string{args[0], "overlay"}
	var overlay []byte
	if len(args) > 1 {
		names[1] = args[1]
		if overlay, err = readFile(args[1]); err != nil {
			return nil, err
		}
	}
	return config.Load(base, overlay, names)
}

func readFile(name string) ([]byte, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, usageError(err.Error())
	}
	return data, nil
}
