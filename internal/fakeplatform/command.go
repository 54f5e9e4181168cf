package fakeplatform

import (
	"context"
	"net/http"
	"time"
)

const headerTimeout = 5 * time.Second

// Command is the stand-in as a process of its own; its fields are its flags.
type Command struct {
	Listen  string        `long:"listen" required:"true" description:"HTTP address"`
	Writes  float64       `long:"writes" default:"400" description:"writes a second"`
	Reads   float64       `long:"reads" default:"2000" description:"reads a second"`
	ListLag time.Duration `long:"list-lag" default:"0s" description:"by which the list of VMs trails the truth"`
}

// Run serves until the process is ended.
func (command *Command) Run() (err error) {
	server := &Server{WritesPerSecond: command.Writes, ReadsPerSecond: command.Reads, ListLag: command.ListLag}
	handler := server.Handler()
	go server.Run(context.Background())
	listener := &http.Server{Addr: command.Listen, Handler: handler, ReadHeaderTimeout: headerTimeout}
	return listener.ListenAndServe()
}
