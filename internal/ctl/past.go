package ctl

import (
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/pflag"

	"github.com/greengagelock/greengagelock/internal/flowlog"
)

// defaultSpan is the time around --at that belongs to a flow. Flows older than a minute may be discarded.
const defaultSpan = time.Minute

// pastFlow says which logs to read for a flow, and when it was open.
type pastFlow struct {
	files []string
	at    string
	span  time.Duration
}

func (p *pastFlow) flags(f *pflag.FlagSet) {
	f.StringArrayVar(&p.files, "log", nil, "log of a process of the datagram path, may be given more than once; - for standard input")
	f.StringVar(&p.at, "at", "", "with --log: time of the request, such as 2026-02-27T18:38:04.2Z (default: all of the log)")
	f.DurationVar(&p.span, "span", defaultSpan, "with --at: time before and after it to look at")
}

// between returns the span of time to look at; zero times for all of it.
func (p *pastFlow) between() (from, to time.Time, err error) {
	if p.at == "" {
		return from, to, nil
	}
	at, err := time.Parse(time.RFC3339Nano, p.at)
	if err != nil {
		return from, to, usageError{errors.Newf("--at is %q, want a time such as 2026-02-27T18:38:04.2Z", p.at)}
	}
	return at.Add(-p.span), at.Add(p.span), nil
}

// explainPast tells from logs what happened to a flow.
func (a *app) explainPast(caller, service netip.AddrPort, p *pastFlow) error {
	from, to, err := p.between()
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
