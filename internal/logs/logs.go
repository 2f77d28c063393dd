// Package logs makes the loggers of the system. Each part has a fixed prefix.
package logs

import (
	"io"

	"github.com/sirupsen/logrus"
)

// Part is the name of a part of the system, as in its log lines.
type Part string

// The parts that write logs.
const (
	Entry         Part = "entry"
	Dispatch      Part = "dispatch"
	Membership    Part = "membership"
	Configuration Part = "configuration"
	Endpoint      Part = "endpoint"
	Rollout       Part = "rollout"
	Host          Part = "host"
)

// New returns a logger that writes JSON lines at the given level or above. An unknown level
// means info.
func New(out io.Writer, level string) *logrus.Logger {
	lg := logrus.New()
	lg.SetOutput(out)
	lg.SetFormatter(&logrus.JSONFormatter{})
	lv, err := logrus.ParseLevel(level)
	if err != nil {
		lv = logrus.InfoLevel
	}
	lg.SetLevel(lv)
	return lg
}

// For returns the logger of a part.
func For(lg logrus.FieldLogger, part Part) logrus.FieldLogger {
	return lg.WithField("part", string(part))
}
