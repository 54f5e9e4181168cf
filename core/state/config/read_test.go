package config

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// splitFiles returns the files in input by name. Each file starts after a line "-- NAME"; KEY1 in it is replaced by the digest
// of the API key "1".
func splitFiles(input string) map[string][]byte {
	files := map[string][]byte{}
	for _, part := range strings.Split("\n"+input, "\n-- ")[1:] {
		name, content, _ := strings.Cut(part, "\n")
		files[name] = []byte(strings.ReplaceAll(content, "KEY1", KeyDigest("1")))
	}
	return files
}

// TestRead runs testdata/read. The command "read" reads a declaration; "diff" compares one with the last that "read" accepted.
func TestRead(t *testing.T) {
	var previous Configuration
	datadriven.RunTest(t, "testdata/read", func(t *testing.T, data *datadriven.TestData) string {
		read, err := Read(splitFiles(data.Input))
		if err != nil {
			return err.Error() + "\n"
		}
		if data.Cmd == "diff" {
			delta := Diff(previous, read)
			merged, err := previous.WithDelta(delta)
			if err != nil {
				return err.Error()
			}
			if difference := Diff(merged, read).String(); difference != "" {
				return "applying the delta does not yield the newer declaration: " + difference
			}
			return delta.String() + "\n"
		}
		previous = read
		return fmt.Sprintf("%d services, %d accounts, %d rules\n", len(read.Services), len(read.Accounts), len(read.Rules))
	})
}

// FuzzRead checks that no file makes Read panic, and that an accepted declaration passes Check and is not changed by encoding
// and decoding.
func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"services":[{"name":"a","type":"model","places":["p"]}]}`))
	f.Add([]byte(`{"accounts":[{"name":"a","weight":1e400}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		read, err := Read(map[string][]byte{"f.json": data})
		if err != nil {
			return
		}
		if err := Check(read); err != nil {
			t.Fatalf("Check rejects a declaration that Read accepted: %s", err)
		}
		encoded, err := read.Encode()
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := Decode(encoded)
		if err != nil {
			t.Fatal(err)
		}
		if difference := Diff(read, decoded).String(); difference != "" {
			t.Fatalf("encoding and decoding changed the declaration: %s", difference)
		}
	})
}
