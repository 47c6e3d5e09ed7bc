package soak

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"verbenatrestle/internal/wait"
	"verbenatrestle/platform"
	"verbenatrestle/platform/standin"
)

const (
	// brokenMark is part of the ids of requests to which targets send no valid answer.
	brokenMark = "-broken-"
	// brokenInterval is the interval of these requests. Each makes its target count as down for a
	// moment.
	brokenInterval = time.Second
)

// BrokenAnswer returns what a target sends in answer to a request before it resets the connection,
// or nothing if it answers as usual. No caller may get an answer by it.
func BrokenAnswer(id string) string {
	if !strings.Contains(id, brokenMark) {
		return ""
	}
	heads := []string{
		"200 OK\r\n\r\n", // cut off, the body has no length
		"000 Trouble\r\nContent-Length: 2\r\n\r\n",                        // a status that is none
		"099 Trouble\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", // skipped if it counts as interim
		"200 OK\r\nContent-Length : 2\r\n\r\n",                            // a blank in a name
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id)) // never fails
	head := heads[hash.Sum32()%uint32(len(heads))]
	own := fmt.Sprintf("%s: %s\r\n%s: %s\r\n", platform.HeaderRequestID, id, platform.HeaderSignature, standin.Signature(id, "ok"))
	text := "HTTP/1.1 " + head + "ok"
	last := strings.LastIndex(text, "HTTP/1.1 ")
	status, rest, _ := strings.Cut(text[last:], "\r\n")
	return text[:last] + status + "\r\n" + own + rest
}

// sendBrokenAnswered sends requests to which targets send no valid answer until the context ends.
func (c *Callers) sendBrokenAnswered(ctx context.Context, client *http.Client) {
	var group sync.WaitGroup
	defer group.Wait()
	for i := 0; wait.For(ctx, brokenInterval); i++ {
		record := CallerRecord{ID: fmt.Sprint(c.IDPrefix, brokenMark, i), Node: c.Nodes[rand.IntN(len(c.Nodes))], Broken: true}
		service := c.Services[rand.IntN(len(c.Services))]
		record.NonIdempotent = strings.HasPrefix(service, "once")
		m := message{method: http.MethodPost, path: "/" + service + "/" + record.ID, body: uniqueBody(record.ID, maxEarlyBody)} // still being written at the reset
		group.Go(func() { c.send(client, m, lastingIdentity(steadyOrganisation), record) })
	}
}
