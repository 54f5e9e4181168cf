package fakeengine

import (
	"net/http"
	"os"
	"time"
)

const headerTimeout = 5 * time.Second

// Command is the stand-in as a process of its own; its fields are its flags.
type Command struct {
	Listen       string        `long:"listen" required:"true" description:"HTTP address"`
	Name         string        `long:"name" default:"engine"`
	Base         time.Duration `long:"base" default:"20ms" description:"time of every step"`
	PerSequence  time.Duration `long:"per-sequence" default:"100us" description:"added to a step for each running sequence"`
	PerPrefill   time.Duration `long:"per-prefill" default:"20us" description:"added to a step for each token of a prompt"`
	MaxSequences int           `long:"max-sequences" default:"64"`
	CacheBlocks  int           `long:"cache-blocks" default:"4096"`
	ReportLag    time.Duration `long:"report-lag" default:"0s"`
	ChecksFence  bool          `long:"checks-fence"`
	Crash        bool          `long:"crash" description:"end the process at a prompt that holds POISON"`
}

// Run serves until the process is ended.
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
		CheckFencingToken: command.ChecksFence,
	}
	if command.Crash {
		server.CrashHandler = func() { os.Exit(1) }
	}
	server.Start()
	listener := &http.Server{Addr: command.Listen, Handler: server.Handler(), ReadHeaderTimeout: headerTimeout}
	return listener.ListenAndServe()
}
