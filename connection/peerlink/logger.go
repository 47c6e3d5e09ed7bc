package peerlink

import (
	"fmt"

	"github.com/go-kit/log"
)

// engineLogger passes the warnings and errors of the gnet engine on.
type engineLogger struct {
	logger log.Logger
}

func (e engineLogger) log(level, format string, args ...any) {
	_ = e.logger.Log("level", level, "step", "event loop", "msg", fmt.Sprintf(format, args...))
}

// Debugf drops the engine's debug lines.
func (e engineLogger) Debugf(string, ...any) {}

// Infof drops the engine's greetings.
func (e engineLogger) Infof(string, ...any) {}

// Warnf logs a warning.
func (e engineLogger) Warnf(format string, args ...any) { e.log("warn", format, args...) }

// Errorf logs an error.
func (e engineLogger) Errorf(format string, args ...any) { e.log("error", format, args...) }

// Fatalf logs an error; unlike its model it doesn't end the process.
func (e engineLogger) Fatalf(format string, args ...any) { e.log("error", format, args...) }
