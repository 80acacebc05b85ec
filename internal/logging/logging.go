// Package logging builds the loggers of a program. Each part of a program logs
// under a fixed prefix.
package logging

import (
	"io"

	"github.com/sirupsen/logrus"

	"cassiatray/internal/settings"
)

// New returns a logger that writes to w.
func New(cfg settings.Log, w io.Writer) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(w)
	if cfg.Format == "json" {
		log.SetFormatter(&logrus.JSONFormatter{})
	} else {
		log.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, DisableColors: true})
	}
	if level, err := logrus.ParseLevel(cfg.Level); err == nil {
		log.SetLevel(level)
	}
	return log
}

// prefixHook puts the name of a part before each message.
type prefixHook struct{ prefix string }

// Part returns a logger whose messages begin with "name: ".
func Part(log *logrus.Logger, name string) *logrus.Entry {
	out := logrus.New()
	out.SetOutput(log.Out)
	out.SetFormatter(log.Formatter)
	out.SetLevel(log.GetLevel())
	out.AddHook(prefixHook{prefix: name + ": "})
	return logrus.NewEntry(out)
}

// Levels implements logrus.Hook.
func (prefixHook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (h prefixHook) Fire(e *logrus.Entry) error {
	e.Message = h.prefix + e.Message
	return nil
}

// Discard returns a logger that writes nothing.
func Discard() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}
