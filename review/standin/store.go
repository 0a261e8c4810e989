package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store, as PROTOCOL.md describes it.
type row struct {
	Table   string `json:"table_name"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"schema_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowsAnswer struct {
	Rows    []row  `json:"rows"`
	More    bool   `json:"more_pages"`
	Version uint64 `json:"schema_version"`
	NowMS   int64  `json:"now_ms"`
}

// store is a stand-in of the platform's metadata store: linearizable, and it loses nothing.
type store struct {
	mutex   sync.Mutex
	started time.Time
	version uint64
	rows    map[string]row
	changed chan struct{}
}

func newStore() *store {
	return &store{started: time.Now(), rows: make(map[string]row), changed: make(chan struct{})}
}

// put writes a row for the operator or an instance, and returns when it is acknowledged.
func (store *store) put(table, key string, value any) {
	encoded, err := json.Marshal(value)
	check(err)
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.write([]row{{Table: table, Key: key, Value: encoded}})
}

// write stores rows under one new version. The caller holds the mutex.
func (store *store) write(rows []row) {
	store.version++
	for _, written := range rows {
		written.Version = store.version
		store.rows[written.Table+"/"+written.Key] = written
	}
	close(store.changed)
	store.changed = make(chan struct{})
}

func (store *store) answer() rowsAnswer {
	return rowsAnswer{Rows: []row{}, Version: store.version, NowMS: time.Since(store.started).Milliseconds()}
}

func (store *store) serve(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/rows-get", store.get)
	mux.HandleFunc("GET /v1/rows-feed", store.feed)
	mux.HandleFunc("POST /v1/rows-tx", store.transact)
	go http.Serve(listener, mux)
}

func reply(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}

func (store *store) get(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	store.mutex.Lock()
	found := store.answer()
	for _, stored := range store.rows {
		inRange := stored.Key >= query.Get("start_key") && (query.Get("to") == "" || stored.Key < query.Get("to"))
		if stored.Table == query.Get("table_name") && inRange && !stored.Deleted {
			found.Rows = append(found.Rows, stored)
		}
	}
	store.mutex.Unlock()
	sort.Slice(found.Rows, func(left, right int) bool { return found.Rows[left].Key < found.Rows[right].Key })
	if limit, err := strconv.Atoi(query.Get("limit")); err == nil && len(found.Rows) > limit {
		found.Rows, found.More = found.Rows[:limit], true
	}
	reply(writer, http.StatusOK, found)
}

func (store *store) feed(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		store.mutex.Lock()
		found, changed := store.answer(), store.changed
		for _, stored := range store.rows {
			if stored.Table == query.Get("table_name") && stored.Version > after {
				found.Rows = append(found.Rows, stored)
			}
		}
		store.mutex.Unlock()
		sort.Slice(found.Rows, func(left, right int) bool { return found.Rows[left].Version < found.Rows[right].Version })
		if len(found.Rows) > 0 {
			reply(writer, http.StatusOK, found)
			return
		}
		select {
		case <-changed:
		case <-request.Context().Done():
			return
		case <-end:
			reply(writer, http.StatusOK, found)
			return
		}
	}
}

func (store *store) transact(writer http.ResponseWriter, request *http.Request) {
	var body struct {
		Expected []row `json:"expected"`
		Writes   []row `json:"writes"`
		Deletes  []row `json:"deletes"`
	}
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(3 * time.Millisecond) // tx_ms
	store.mutex.Lock()
	defer store.mutex.Unlock()
	current, matches := store.answer(), true
	for _, expected := range body.Expected {
		found, ok := store.rows[expected.Table+"/"+expected.Key]
		version := found.Version
		if !ok || found.Deleted {
			version = 0
		} else {
			current.Rows = append(current.Rows, found)
		}
		matches = matches && version == expected.Version
	}
	for _, changed := range append(body.Writes, body.Deletes...) {
		if changed.Table == "op" || changed.Table == "servers" {
			writer.WriteHeader(http.StatusForbidden)
			return
		}
	}
	if !matches {
		reply(writer, http.StatusPreconditionFailed, current)
		return
	}
	for index := range body.Deletes {
		body.Deletes[index].Deleted = true
	}
	store.write(append(body.Writes, body.Deletes...))
	reply(writer, http.StatusOK, store.answer())
}

// drop deletes a row for an instance.
func (store *store) drop(table, key string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if found, ok := store.rows[table+"/"+key]; ok && !found.Deleted {
		store.write([]row{{Table: table, Key: key, Deleted: true}})
	}
}
