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
			for _, message := range []any{&Attempt{}, &Head{}, &End{}, &Handshake{}, &Report{}, &Heartbeat{}, &Call{}, &CallResponse{}} {
				_ = frame.Decode(message)
			}
			_, _, _ = splitData(frame)
			_, _ = (&Configurations{}).ApplyUpdate(ConfigurationUpdate{Version: 1, Data: frame.Payload})
		}
	})
}

// scripted is a daemon that answers each attempt as its path says.
type scripted struct {
	malformed chan error
}

func (scripted *scripted) HandleAttempt(ctx context.Context, attempt Attempt, body []byte, writer *ResponseWriter) {
	if attempt.Path == "/wait" {
		<-ctx.Done()
		writer.WriteEnd(End{Disposition: request.NotRun, Reason: request.ReasonCancelled})
		return
	}
	_ = writer.WriteHead(Head{Status: 200})
	writer.WriteData(body)
	switch attempt.Path {
	case "/cut":
		_ = writer.Flush()
		writer.ended = true // the stream ends without its last frame
		return
	case "/reordered":
		writer.count += 2
		writer.WriteData([]byte("late"))
	case "/lost":
		writer.count++
	case "/altered":
		_, _ = writer.digest.Write([]byte("x"))
	}
	writer.WriteEnd(End{Disposition: request.Done})
}

func (scripted *scripted) HandleControl(context.Context, Handshake, *FrameReader, io.Writer) {}

func (scripted *scripted) HandleCall(ask Call) CallResponse {
	return CallResponse{Found: ask.RequestID == "known"}
}

func (scripted *scripted) HandleProtocolError(err error) { scripted.malformed <- err }

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
		answer, err := client.SendAttempt(t.Context(), Attempt{Path: test.path}, body)
		if err != nil {
			t.Fatal(err)
		}
		var got []byte
		if err = answer.ReadHead(); err != nil {
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
	answer, err := client.SendAttempt(t.Context(), Attempt{Path: "/wait"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	answer.Cancel()
	answer.Discard()
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
	if answer, err := client.Call(t.Context(), Call{RequestID: "known"}); err != nil || !answer.Found {
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
	if _, err = (&Client{Connection: connection}).Call(ctx, Call{RequestID: "known"}); err == nil {
		t.Error("a stranger got an answer")
	}
}

// TestSlowReader checks that a stream that is not read does not hold up another one.
func TestSlowReader(t *testing.T) {
	client, _, _ := connect(t)
	body := make([]byte, 4<<20)
	slow, err := client.SendAttempt(t.Context(), Attempt{Path: "/echo"}, body)
	if err != nil {
		t.Fatal(err)
	}
	if err = slow.ReadHead(); err != nil {
		t.Fatal(err)
	}
	for range 20 {
		answer, err := client.Call(t.Context(), Call{RequestID: "known"})
		if err != nil || !answer.Found {
			t.Fatalf("beside a slow reader: %v", err)
		}
	}
	slow.Cancel()
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
	ahead.SetIfNewer(version(1, "x"))
	whole, _ := ahead.UpdateSince(0)
	ahead.SetIfNewer(version(2, "x", "y"))
	delta, _ := ahead.UpdateSince(1)
	ahead.SetIfNewer(version(3, "y"))
	newest, _ := ahead.UpdateSince(2)
	for _, step := range []struct {
		name    string
		message ConfigurationUpdate
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
		adopted, _ := behind.ApplyUpdate(step.message)
		if adopted != step.adopted || behind.Current().Version != step.version {
			t.Errorf("%s: adopted=%v, version %d", step.name, adopted, behind.Current().Version)
		}
	}
	if ahead.SetIfNewer(version(2, "z")) {
		t.Error("an older version was adopted")
	}
	if difference := config.Diff(ahead.Current(), behind.Current()).String(); difference != "" {
		t.Errorf("the peers differ: %s", difference)
	}
}
