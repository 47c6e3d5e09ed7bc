// Package quota enforces the quotas of organisations over all nodes together.
//
// One node counts the requests of an organisation: its coordinator, which the nodes agree on
// without messages. It holds a token bucket with the rate and the burst of the quota.
//
// While the bucket is well filled, the other nodes admit requests at once and report them
// afterwards, so the count is late by ReportInterval. Below that they ask the coordinator
// before they admit requests, and get tokens that are deducted when they are granted. So what
// is lost on the way is never used twice. Requests that were admitted before a node knew that
// the bucket is nearly empty are deducted too; the bucket may go below zero by them, and no
// tokens are granted until it has recovered.
//
// A node that gets no answer admits the equal share of one node. A node that reaches only a
// part of the others uses that part of the quota, so the parts of a divided system do not
// exceed it together.
package quota
