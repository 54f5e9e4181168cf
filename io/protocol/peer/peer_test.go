package peer

import (
	"bytes"
	"context"
	"io"
	"testing"
	"time"

	"github.com/juju/errors"

	"cowslipway/core/state/config"
	"cowslipway/core/state/request"
	"cowslipway/io/transport/quic"
)

// FuzzFrames checks that no bytes from a peer make the reader or a message's decoder panic.
func FuzzFrames(f *testing.F) {
	valid, err := AppendMessage(nil, FrameAttempt, Attempt{RequestID: "r", Headers: []Header{{Name: "a", Value: "b"}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add(appendData(nil, 1, []byte("data")))
	f.Add([]byte{byte(FrameEnd), 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := NewFrameReader(bytes.NewReader(data))
		for {
			frame, err := reader.Next()
			if err != nil {
				return
			}
			for _, message := range []any{&Attempt{}, &Head{}, &End{}, &Hello{}, &Report{}, &Backlog{}, &Ask{}, &Answer{}} {
				_ = frame.Decode(message)
			}
			_, _, _ = splitData(frame)
			_, _ = (&Configurations{}).Take(Configuration{Version: 1, Data: frame.Payload})
		}
	})
}

// scripted is a daemon that answers each attempt as its path says.
type scripted struct {
	malformed chan error
}

func (scripted *scripted) Attempt(ctx context.Context, attempt Attempt, body []byte, writer *AnswerWriter) {
	if attempt.Path == "/wait" {
		<-ctx.Done()
		writer.End(End{Disposition: request.NotRun, Reason: request.ReasonCancelled})
		return
	}
	_ = writer.Head(Head{Status: 200})
	writer.Data(body)
	switch attempt.Path {
	case "/cut":
		_ = writer.Flush()
		writer.ended = true // the stream ends without its last frame
		return
	case "/reordered":
		writer.count += 2
		writer.Data([]byte("late"))
	case "/lost":
		writer.count++
	case "/altered":
		_, _ = writer.digest.Write([]byte("x"))
	}
	writer.End(End{Disposition: request.Done})
}

func (scripted *scripted) Control(context.Context, Hello, *FrameReader, io.Writer) {}

func (scripted *scripted) Ask(ask Ask) Answer { return Answer{Found: ask.RequestID == "known"} }

func (scripted *scripted) Malformed(err error) { scripted.malformed <- err }

func connect(t *testing.T) (client *Client, handler *scripted, address string) {
	t.Helper()
	authority, err := quic.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	serverTLS, err := authority.Issue("server")
	if err != nil {
		t.Fatal(err)
	}
	clientTLS, err := authority.Issue("client")
	if err != nil {
		t.Fatal(err)
	}
	listener, err := quic.Listen("127.0.0.1:0", serverTLS)
	if err != nil {
		t.Fatal(err)
	}
	handler = &scripted{malformed: make(chan error, 1)}
	go func() { _ = (&Server{Listener: listener, Handler: handler}).Run(t.Context()) }()
	address = listener.Addr().String()
	connection, err := quic.Dial(t.Context(), address, clientTLS)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = connection.CloseWithError(0, "")
		_ = listener.Close()
	})
	return &Client{Connection: connection}, handler, address
}

func TestAnswers(t *testing.T) {
	client, _, _ := connect(t)
	body := bytes.Repeat([]byte("0123456789"), 100_000)
	for _, test := range []struct {
		path        string
		whole       bool
		disposition request.Disposition
	}{
		{"/echo", true, request.Done},
		{"/cut", false, request.MayHaveRun},
		{"/reordered", false, request.MayHaveRun},
		{"/lost", false, request.MayHaveRun},
		{"/altered", false, request.MayHaveRun},
	} {
		answer, err := client.Attempt(t.Context(), Attempt{Path: test.path}, body)
		if err != nil {
			t.Fatal(err)
		}
		var got []byte
		if err = answer.Start(); err != nil {
			t.Fatalf("%s: %s", test.path, err)
		}
		for {
			data, nextErr := answer.Next()
			if nextErr != nil {
				err = nextErr
				break
			}
			got = append(got, data...)
		}
		whole := errors.Is(err, io.EOF) && bytes.Equal(got, body)
		if whole != test.whole || answer.Outcome().Disposition != test.disposition {
			t.Errorf("%s: whole=%v (%v), disposition %s", test.path, whole, err, answer.Outcome().Disposition)
		}
	}
}

func TestCancel(t *testing.T) {
	client, _, _ := connect(t)
	answer, err := client.Attempt(t.Context(), Attempt{Path: "/wait"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	answer.Interrupt()
	answer.Drain()
	if outcome := answer.Outcome(); outcome.Disposition != request.NotRun {
		t.Errorf("cancelled before it ran: %+v", outcome)
	}
}

func TestMalformed(t *testing.T) {
	client, handler, _ := connect(t)
	for name, bytes := range map[string][]byte{
		"half a frame":          {byte(FrameAttempt), 0, 0, 1, 0, 'x'},
		"unknown type":          {200, 0, 0, 0, 0},
		"wrong opening":         AppendFrame(nil, FrameBody, []byte("x")),
		"attempt that is none":  AppendFrame(nil, FrameAttempt, []byte("x")),
		"frame that is too big": {byte(FrameAttempt), 0xff, 0, 0, 0},
	} {
		stream, err := client.Connection.OpenStreamSync(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = stream.Write(bytes)
		_ = stream.Close()
		if err = <-handler.malformed; err == nil {
			t.Errorf("%s: no error", name)
		}
	}
	if answer, err := client.Ask(t.Context(), Ask{RequestID: "known"}); err != nil || !answer.Found {
		t.Errorf("the connection does not work any more: %v", err)
	}
}

// TestStranger checks that a process without a certificate of the authority is turned away.
func TestStranger(t *testing.T) {
	_, _, address := connect(t)
	other, err := quic.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	strangerTLS, err := other.Issue("stranger")
	if err != nil {
		t.Fatal(err)
	}
	strangerTLS.VerifyConnection = nil // a stranger does not check whom it talks to
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	connection, err := quic.Dial(ctx, address, strangerTLS)
	if err != nil {
		return
	}
	// The client's handshake may end before the server has checked the certificate.
	if _, err = (&Client{Connection: connection}).Ask(ctx, Ask{RequestID: "known"}); err == nil {
		t.Error("a stranger got an answer")
	}
}

// TestSlowReader checks that a stream that is not read does not hold up another one.
func TestSlowReader(t *testing.T) {
	client, _, _ := connect(t)
	body := make([]byte, 4<<20)
	slow, err := client.Attempt(t.Context(), Attempt{Path: "/echo"}, body)
	if err != nil {
		t.Fatal(err)
	}
	if err = slow.Start(); err != nil {
		t.Fatal(err)
	}
	for range 20 {
		answer, err := client.Ask(t.Context(), Ask{RequestID: "known"})
		if err != nil || !answer.Found {
			t.Fatalf("beside a slow reader: %v", err)
		}
	}
	slow.Interrupt()
}

// TestVersions spreads versions between two peers in any order: neither ever goes back.
func TestVersions(t *testing.T) {
	version := func(number int64, names ...string) config.Configuration {
		made := config.Configuration{Version: number}
		for _, name := range names {
			made.Services = append(made.Services, config.Service{Name: name, Places: []string{"a"}})
		}
		return made.Indexed()
	}
	ahead, behind := &Configurations{}, &Configurations{}
	ahead.Adopt(version(1, "x"))
	whole, _ := ahead.For(0)
	ahead.Adopt(version(2, "x", "y"))
	delta, _ := ahead.For(1)
	ahead.Adopt(version(3, "y"))
	newest, _ := ahead.For(2)
	for _, step := range []struct {
		name    string
		message Configuration
		adopted bool
		version int64
	}{
		{"a delta without its base", delta, false, 0},
		{"the whole", whole, true, 1},
		{"a delta", delta, true, 2},
		{"the same again", delta, false, 2},
		{"an older whole", whole, false, 2},
		{"the newest", newest, true, 3},
		{"an older delta", delta, false, 3},
	} {
		adopted, _ := behind.Take(step.message)
		if adopted != step.adopted || behind.Current().Version != step.version {
			t.Errorf("%s: adopted=%v, version %d", step.name, adopted, behind.Current().Version)
		}
	}
	if ahead.Adopt(version(2, "z")) {
		t.Error("an older version was adopted")
	}
	if difference := config.Diff(ahead.Current(), behind.Current()).String(); difference != "" {
		t.Errorf("the peers differ: %s", difference)
	}
}
