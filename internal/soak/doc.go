// Package soak holds what the fault soak needs beside the nodes: a proxy that
// harms connections, callers that note what they were told, and a judge that
// holds that against what the targets ran.
//
// The programs run as processes of their own; scripts/soak.sh starts them,
// sends signals and switches faults on and off by a seed.
package soak
