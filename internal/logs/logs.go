// Package logs creates the loggers of the system. Each component logs under its own name.
package logs

import (
	"io"

	"github.com/sirupsen/logrus"
)

// Component is the name of a component as written to its log lines.
type Component string

// Components that write logs.
const (
	Entry         Component = "entry"
	Dispatch      Component = "dispatch"
	Membership    Component = "membership"
	Configuration Component = "configuration"
	Endpoint      Component = "endpoint"
	Rollout       Component = "rollout"
	Host          Component = "host"
)

// New returns a logger that writes JSON lines of the given level or a more severe one. An unknown level
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

// WithComponent returns a logger that adds the component's name to each line.
func WithComponent(lg logrus.FieldLogger, component Component) logrus.FieldLogger {
	return lg.WithField("part", string(component))
}
