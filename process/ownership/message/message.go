// Package message defines what nodes tell each other about ownership.
package message

import "verbenatrestle/connection/wire"

// Register makes the messages of ownership known to codec, as kinds 30 to 49.
func Register(codec *wire.Codec) {
}
