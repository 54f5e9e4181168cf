package explain

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestReports checks the reports about failed requests of several kinds, from log lines as members write them.
func TestReports(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var lines []Line
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			if data.Cmd == "log" {
				read, err := Read(strings.NewReader(data.Input))
				if err != nil {
					t.Fatal(err)
				}
				lines = append(lines, read...)
				return ""
			}
			report, ok := Find(data.CmdArgs[0].Key, lines)
			if !ok {
				return "no line contains it"
			}
			text := &strings.Builder{}
			if err := report.Write(text); err != nil {
				t.Fatal(err)
			}
			return text.String()
		})
	})
}

// FuzzRead checks that Read, Find and Write do not panic on arbitrary text, and that Find has a report for each request read.
func FuzzRead(f *testing.F) {
	f.Add(`x 1.5 {"ts":"2026-03-07T03:06:32.079978243Z","msg":"refused","vm":"a","request":"r","since_arrival":"1s"}`)
	f.Add("{\"ts\":1}\n{\"ts\":\"2026-03-07T03:06:32Z\",\"request\":{\"a\":[]}}\n{")
	f.Fuzz(func(t *testing.T, text string) {
		lines, err := Read(strings.NewReader(text))
		if err != nil {
			return
		}
		for _, line := range lines {
			report, ok := Find(line.Text("request"), lines)
			if !ok {
				t.Fatalf("Find does not return line %v for its request", line)
			}
			if err := report.Write(&strings.Builder{}); err != nil {
				t.Fatal(err)
			}
		}
	})
}
