// Package platform is the only client of the platform's services: table, object store, instance list, weight store,
// target orders and usage intake, over HTTP and JSON.
//
// Every call has a deadline. Calls are idempotent (by write token, write-once key or id), so the client
// retries them within a retry budget. Target orders are the exception: they are sent once, because the lease holder
// must check that its lease is still valid before each send.
package platform

import (
	"time"

	"github.com/egretspar/egretspar/internal/platform/rpc"
)

// Operations of the platform.
const (
	TableGet         rpc.Operation = "table_get"
	TableList        rpc.Operation = "table_list"
	TableCommit      rpc.Operation = "table_commit"
	ObjectPut        rpc.Operation = "object_put"
	ObjectGet        rpc.Operation = "object_get"
	ObjectList       rpc.Operation = "object_list"
	ObjectDelete     rpc.Operation = "object_delete"
	InstanceList     rpc.Operation = "instance_list"
	InstanceRegister rpc.Operation = "instance_register"
	InstanceLeave    rpc.Operation = "instance_leave"
	WeightsLatest    rpc.Operation = "weights_latest"
	OrderPut         rpc.Operation = "order_put"
	OrderList        rpc.Operation = "order_list"
	IntakeReport     rpc.Operation = "intake_report"
)

// Options configure a Client.
type Options = rpc.Options

// Client calls the platform's services.
type Client struct {
	Table     *Table
	Objects   *Objects
	Instances *Instances
	Weights   *Weights
	Orders    *Orders
	Intake    *Intake

	caller *rpc.Caller
}

// New returns a client. It opens no connection.
func New(options Options) *Client {
	c := rpc.New(options)
	return &Client{
		Table:     &Table{caller: c},
		Objects:   &Objects{caller: c},
		Instances: &Instances{caller: c},
		Weights:   &Weights{caller: c},
		Orders:    &Orders{caller: c, now: time.Now},
		Intake:    &Intake{caller: c},
		caller:    c,
	}
}

// Counts returns the calls and results of every operation so far, in alphabetical order of the operations.
func (c *Client) Counts() []rpc.Count { return c.caller.Counts() }

// Close closes idle connections.
func (c *Client) Close() { c.caller.Close() }
