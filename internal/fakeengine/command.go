package fakeengine

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"
)

const readHeaderTimeout = 5 * time.Second // for reading the header of a request

// Command runs a Server as a separate process. Its fields are command-line flags.
type Command struct {
	Listen            string        `long:"listen" required:"true" description:"HTTP address"`
	Name              string        `long:"name" default:"engine"`
	Base              time.Duration `long:"base" default:"20ms" description:"fixed part of the time of a step"`
	PerSequence       time.Duration `long:"per-sequence" default:"100us" description:"time that each running sequence adds to a step"`
	PerPrefill        time.Duration `long:"per-prefill" default:"20us" description:"time that each prefilled prompt token adds to a step"`
	MaxSequences      int           `long:"max-sequences" default:"64"`
	CacheBlocks       int           `long:"cache-blocks" default:"4096"`
	ReportLag         time.Duration `long:"report-lag" default:"0s"`
	CheckFencingToken bool          `long:"checks-fence"`
	ReceiveBuffer     int           `long:"receive-buffer" description:"size of a connection's receive buffer in bytes; 0 is that of the system"`
	Crash             bool          `long:"crash" description:"exit when a prompt contains POISON"`
}

// Run serves until the process is killed. It returns an error if it cannot listen.
func (command *Command) Run() (err error) {
	server := &Server{
		Name: command.Name,
		Performance: Performance{
			Base:            command.Base,
			PerSequence:     command.PerSequence,
			PerPrefillToken: command.PerPrefill,
			MaxSequences:    command.MaxSequences,
			CacheBlocks:     command.CacheBlocks,
		},
		ReportLag:         command.ReportLag,
		CheckFencingToken: command.CheckFencingToken,
	}
	if command.Crash {
		server.CrashHandler = func() { os.Exit(1) }
	}
	server.Start()
	httpServer := &http.Server{Addr: command.Listen, Handler: server.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	listener, err := command.listen()
	if err != nil {
		return err
	}
	return httpServer.Serve(listener)
}

// listen listens with the size of the receive buffer, which connections take over from their listener.
func (command *Command) listen() (listener net.Listener, err error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		if command.ReceiveBuffer == 0 {
			return nil
		}
		controlErr := raw.Control(func(descriptor uintptr) {
			err = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, command.ReceiveBuffer)
		})
		return errors.Join(controlErr, err)
	}}
	return config.Listen(context.Background(), "tcp", command.Listen)
}
