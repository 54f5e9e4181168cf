package fakeplatform

import (
	"context"
	"net/http"
	"time"
)

const readHeaderTimeout = 5 * time.Second // for reading the header of a request

// Command runs a Server as a separate process. Its fields are command-line flags.
type Command struct {
	Listen  string        `long:"listen" required:"true" description:"HTTP address"`
	Writes  float64       `long:"writes" default:"400" description:"allowed writes per second; 0 for no limit"`
	Reads   float64       `long:"reads" default:"2000" description:"allowed reads per second; 0 for no limit"`
	ListLag time.Duration `long:"list-lag" default:"0s" description:"delay until a change of the VM list is visible"`
}

// Run serves until the process is killed. It returns an error if it cannot listen.
func (command *Command) Run() (err error) {
	server := &Server{WritesPerSecond: command.Writes, ReadsPerSecond: command.Reads, ListLag: command.ListLag}
	handler := server.Handler()
	go server.Run(context.Background())
	httpServer := &http.Server{Addr: command.Listen, Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	return httpServer.ListenAndServe()
}
