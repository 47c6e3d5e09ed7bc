package peerlink

import (
	"fmt"

	"github.com/go-kit/log"
)

// engineLogger is the logger of the gnet engine. It writes the engine's warnings
// and errors to a go-kit logger.
type engineLogger struct {
	logger log.Logger
}

func (e engineLogger) log(level, format string, args ...any) {
	_ = e.logger.Log("level", level, "step", "event loop", "msg", fmt.Sprintf(format, args...))
}

// Debugf discards the engine's debug lines.
func (e engineLogger) Debugf(string, ...any) {}

// Infof discards the engine's informational lines.
func (e engineLogger) Infof(string, ...any) {}

// Warnf logs a warning.
func (e engineLogger) Warnf(format string, args ...any) { e.log("warn", format, args...) }

// Errorf logs an error.
func (e engineLogger) Errorf(format string, args ...any) { e.log("error", format, args...) }

// Fatalf logs an error. Unlike gnet's default logger, it does not end the process.
func (e engineLogger) Fatalf(format string, args ...any) { e.log("error", format, args...) }
