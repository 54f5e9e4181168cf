package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
)

const maxLineBytes = 1 << 20 // the longest line, "started" with the settings, has about 1,000 bytes

// Line is one line of a member's log.
type Line struct {
	Time    time.Time
	Process string         // role, such as ingress or worker
	VM      string         // name of the VM
	Event   string         // message of the line
	Fields  map[string]any // all fields, including those above
}

// Text returns a field as text, or an empty string if the line lacks it.
func (line Line) Text(name string) string {
	if value, ok := line.Fields[name]; ok {
		return fmt.Sprint(value)
	}
	return ""
}

// Read reads the lines of a log. It ignores text before the JSON of a line, such as a prefix added by a log collector, and
// lines without JSON.
func Read(reader io.Reader) (lines []Line, err error) {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		_, text, ok := strings.Cut(scanner.Text(), "{")
		if !ok {
			continue
		}
		var fields map[string]any
		decoder := json.NewDecoder(strings.NewReader("{" + text))
		decoder.UseNumber()
		if decoder.Decode(&fields) != nil {
			continue // incomplete line of a process that was killed
		}
		line := Line{Fields: fields}
		line.Time, err = time.Parse(time.RFC3339Nano, line.Text("ts"))
		if err != nil {
			continue // line of another program
		}
		line.Process, line.VM, line.Event = line.Text("process"), line.Text("vm"), line.Text("msg")
		lines = append(lines, line)
	}
	return lines, errors.Annotate(scanner.Err(), "reading a log")
}

// omittedFields lists the fields that String omits: Write prints them elsewhere, or they are the same on most lines.
var omittedFields = []string{"ts", "msg", "process", "vm", "level", "failure_domain", "request", "settings"}

// String returns the line's fields as NAME=VALUE, sorted by name, without omittedFields.
func (line Line) String() (text string) {
	names := []string{}
	for name := range line.Fields {
		if !slices.Contains(omittedFields, name) && line.Text(name) != "" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		value := line.Text(name)
		if strings.ContainsAny(value, " \"") {
			value = fmt.Sprintf("%q", value)
		}
		text += " " + name + "=" + value
	}
	return strings.TrimPrefix(text, " ")
}
