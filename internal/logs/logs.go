// Package logs creates the loggers of the system. Each component logs under its own name.
package logs

import (
	"io"

	"github.com/sirupsen/logrus"
)

// Part is the name of a component as written to its log lines.
type Part string

// Components that write logs.
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

// For returns a logger that adds the component's name to each line.
func For(lg logrus.FieldLogger, component Part) logrus.FieldLogger {
	return lg.WithField("part", string(component))
}
