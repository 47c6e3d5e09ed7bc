package node

import (
	"verbenatrestle/connection/wire"
	"verbenatrestle/process/membership"
	"verbenatrestle/process/ownership/message"
	"verbenatrestle/request/quarantine"
)

// Kinds of the messages of this package.
const (
	kindConfigAnnounce   wire.Kind = 50
	kindConfigPull       wire.Kind = 51
	kindConfigDocument   wire.Kind = 52
	kindQuarantineExport wire.Kind = 53
)

// configAnnounce announces the sender's active configuration version.
type configAnnounce struct {
	Version uint64
}

// configPull requests the peer's configuration if it is newer than Have.
type configPull struct {
	// Have is the sender's active version.
	Have uint64
}

// configDocument carries an encoded version.Document.
type configDocument struct {
	Version uint64
	Data    []byte
}

// quarantineExport carries all crashes and completions that the sender has
// recorded.
type quarantineExport struct {
	Message quarantine.Message
}

// newCodec returns a codec for all messages between nodes.
func newCodec() *wire.Codec {
	c := wire.NewCodec()
	membership.Register(c)
	message.Register(c)
	c.Register(kindConfigAnnounce, (*configAnnounce)(nil))
	c.Register(kindConfigPull, (*configPull)(nil))
	c.Register(kindConfigDocument, (*configDocument)(nil))
	c.Register(kindQuarantineExport, (*quarantineExport)(nil))
	return c
}
