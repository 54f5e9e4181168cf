package config

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// splitFiles reads input as files, each after a line of "-- NAME".
func splitFiles(input string) map[string][]byte {
	files := map[string][]byte{}
	for _, part := range strings.Split("\n"+input, "\n-- ")[1:] {
		name, content, _ := strings.Cut(part, "\n")
		files[name] = []byte(strings.ReplaceAll(content, "KEY1", KeyDigest("1")))
	}
	return files
}

func TestRead(t *testing.T) {
	var last Configuration
	datadriven.RunTest(t, "testdata/read", func(t *testing.T, data *datadriven.TestData) string {
		read, err := Read(splitFiles(data.Input))
		if err != nil {
			return err.Error() + "\n"
		}
		if data.Cmd == "diff" {
			delta := Diff(last, read)
			merged, err := last.WithDelta(delta)
			if err != nil {
				return err.Error()
			}
			if rest := Diff(merged, read).String(); rest != "" {
				return "the delta does not lead there: " + rest
			}
			return delta.String() + "\n"
		}
		last = read
		return fmt.Sprintf("%d services, %d accounts, %d rules\n", len(read.Services), len(read.Accounts), len(read.Rules))
	})
}

// FuzzRead checks that no file makes the reader panic, and that what it accepts is stable.
func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"services":[{"name":"a","type":"model","places":["p"]}]}`))
	f.Add([]byte(`{"accounts":[{"name":"a","weight":1e400}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		read, err := Read(map[string][]byte{"f.json": data})
		if err != nil {
			return
		}
		if err := Check(read); err != nil {
			t.Fatalf("accepted once, refused again: %s", err)
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
			t.Fatalf("changed by encoding: %s", difference)
		}
	})
}
