package ctl

import (
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/pflag"

	"github.com/greengagelock/greengagelock/internal/flowlog"
)

// defaultSpan is the default of --span. Processes may discard flows that are older than a minute.
const defaultSpan = time.Minute

// logFlags are the flags of explain that name the logs to read and the time of the request.
type logFlags struct {
	files []string
	at    string
	span  time.Duration
}

func (p *logFlags) add(f *pflag.FlagSet) {
	f.StringArrayVar(&p.files, "log", nil, "log of a process of the datagram path, may be repeated; - for standard input")
	f.StringVar(&p.at, "at", "", "with --log: time of the request, such as 2026-02-27T18:38:04.2Z (default: all of the log)")
	f.DurationVar(&p.span, "span", defaultSpan, "with --at: how much time before and after it to include")
}

// timeRange returns the range of log times that --at and --span select, or zero times without --at.
func (p *logFlags) timeRange() (from, to time.Time, err error) {
	if p.at == "" {
		return from, to, nil
	}
	at, err := time.Parse(time.RFC3339Nano, p.at)
	if err != nil {
		return from, to, usageError{errors.Newf("--at is %q, want a time such as 2026-02-27T18:38:04.2Z", p.at)}
	}
	return at.Add(-p.span), at.Add(p.span), nil
}

// explainFromLogs prints what happened to a flow and why, according to the logs.
func (a *app) explainFromLogs(caller, service netip.AddrPort, p *logFlags) error {
	from, to, err := p.timeRange()
	if err != nil {
		return err
	}
	l := flowlog.New(caller.String(), service.String())
	for _, name := range p.files {
		if err := readLog(l, name); err != nil {
			return err
		}
	}
	explanation := l.Between(from, to)
	return a.print(explanation, func(t *table) {
		t.row("flow", explanation.Flow)
		t.row("outcome", explanation.Outcome)
		t.row("code", orDash(explanation.Code))
		for _, cause := range explanation.Causes {
			t.row("because", cause)
		}
		for _, line := range explanation.Lines {
			t.row(line.Time.UTC().Format(time.RFC3339Nano), line.Process+": "+line.Message+" "+line.Code)
		}
	})
}

func readLog(l *flowlog.Log, name string) error {
	if name == "-" {
		return l.Read(os.Stdin)
	}
	file, err := os.Open(name)
	if err != nil {
		return usageError{errors.Wrap(err, "--log")}
	}
	return errors.Wrapf(errors.CombineErrors(l.Read(file), file.Close()), "%s", name)
}
