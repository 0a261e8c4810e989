// Package model defines the values that the kernel, its plug-ins and the
// adapters exchange: identifiers, terms, log marks, deployments and requests.
package model

// GroupID identifies a database group: one primary and its replicas.
type GroupID string

// InstanceID identifies a database instance on a backend server.
type InstanceID string

// ProxyID identifies one proxy process. A restarted process has a new ProxyID.
type ProxyID string

// DataCenter identifies a data centre.
type DataCenter string

// CallerID identifies a caller's connection within one proxy process.
type CallerID uint64

// RequestSeq identifies a request within one proxy process.
type RequestSeq uint64

// ConnID identifies a backend connection within one proxy process.
type ConnID uint64

// ExecID identifies one execution on a backend connection.
type ExecID uint64

// ProbeID identifies a status probe and the answer to it.
type ProbeID uint64

// OrderID identifies an order to an instance and the answer to it.
type OrderID uint64

// PlatformCallID identifies a call to the platform, such as a store read or a
// promotion, and the answer to it.
type PlatformCallID uint64

// StoreEra counts how often the platform's store has come back from an older copy. Row versions
// are comparable only within an era, since the store gives them out again in the next one. It
// is 0 for a store that does not report it.
type StoreEra uint64

// PollID identifies a poll that this proxy has sent or received.
type PollID uint64

// AdminCallID identifies an operator's call to the admin service and the answer to it.
type AdminCallID uint64
