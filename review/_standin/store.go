package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// A store stands in for the platform's store, with one partition for each topic.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	era     int
	away    bool
	changed chan struct{}
	address string
	server  *http.Server
}

// A topic is one partition of records. Nothing expires within a case.
type topic struct {
	records [][]byte
	newest  map[string]keyed
}

// A keyed record is the newest value of a key.
type keyed struct {
	value  []byte
	offset int
}

// newStore starts a store on a loopback address.
func newStore() (*store, error) {
	s := &store{topics: make(map[string]*topic), era: 1, changed: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address, s.server = listener.Addr().String(), &http.Server{Handler: s, ReadHeaderTimeout: time.Second}
	go s.server.Serve(listener)
	return s, nil
}

// put writes the newest value of a key as the operator or a worker does, and returns its offset. An empty
// value deletes the key. While the store is away, it fails with offset -1.
func (s *store) put(name, key string, value []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return -1
	}
	return s.append(name, append(append([]byte{byte(len(key))}, key...), value...))
}

// append appends one record. The caller holds the lock.
func (s *store) append(name string, content []byte) int {
	t := s.topic(name)
	offset := len(t.records)
	t.records = append(t.records, content)
	if strings.HasPrefix(name, "keyed.") && len(content) > 0 && int(content[0]) < len(content) {
		key, value := string(content[1:1+content[0]]), content[1+content[0]:]
		if len(value) == 0 {
			delete(t.newest, key)
		} else {
			t.newest[key] = keyed{value: value, offset: offset}
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

// topic returns a topic and creates it if there is none. The caller holds the lock.
func (s *store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{newest: make(map[string]keyed)}
		s.topics[name] = t
	}
	return t
}

// copyAll returns a copy of everything in the store.
func (s *store) copyAll() map[string]*topic {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]*topic)
	for name, t := range s.topics {
		out[name] = &topic{records: slices.Clone(t.records), newest: maps.Clone(t.newest)}
	}
	return out
}

// ends returns where a topic ends.
func (s *store) end(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.topic(name).records)
}

// goAway makes the store refuse all calls with 503.
func (s *store) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	close(s.changed)
	s.changed = make(chan struct{})
}

// comeBack ends goAway. With a copy, the store holds what the copy holds, and its era rises.
func (s *store) comeBack(copied map[string]*topic) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = false
	if copied != nil {
		s.topics, s.era = copied, s.era+1
	}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	away := s.away
	s.mu.Unlock()
	if away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	query := r.URL.Query()
	switch r.URL.Path {
	case wire.Append:
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		status, answer := s.appendAll(query.Get("topic"), query.Get("at"), body)
		reply(w, status, answer)
	case wire.Read:
		s.read(w, r)
	case wire.Newest:
		reply(w, http.StatusOK, s.listNewest(query.Get("topic"), query.Get("after")))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// reply writes a JSON body.
func reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(value)
}

// appendAll appends the records of body, on condition that the topic ends at the offset at if that is given.
func (s *store) appendAll(name, at string, body []byte) (int, map[string]any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if at != "" && at != strconv.Itoa(len(t.records)) {
		return http.StatusPreconditionFailed, map[string]any{"end_offset": len(t.records)}
	}
	first := len(t.records)
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			return http.StatusBadRequest, map[string]any{}
		}
		s.append(name, slices.Clone(body[4:4+n]))
		body = body[4+n:]
	}
	return http.StatusOK, map[string]any{"offset": first, "end_offset": len(t.records)}
}

// read serves the records of a topic from an offset on, and waits for one if there is none. An offset that the
// topic does not have gets 410.
func (s *store) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.Atoi(query.Get("from_key"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := wait > 0; ; {
		s.mu.Lock()
		if s.away {
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Store-Era", strconv.Itoa(s.era))
		t, changed := s.topic(query.Get("topic")), s.changed
		end := len(t.records)
		if from > end {
			s.mu.Unlock()
			reply(w, http.StatusGone, map[string]any{"first": 0})
			return
		}
		if from < end || !waiting {
			body := binary.BigEndian.AppendUint64(nil, uint64(end))
			body = binary.BigEndian.AppendUint64(body, 0)
			for _, record := range t.records[from:] {
				body = append(binary.BigEndian.AppendUint32(body, uint32(len(record))), record...)
			}
			s.mu.Unlock()
			w.Write(body)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// listNewest returns a page of the newest records of a topic, sorted by key.
func (s *store) listNewest(name, after string) map[string]any {
	const pageSize = 500
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	keys := slices.DeleteFunc(slices.Sorted(maps.Keys(t.newest)), func(key string) bool { return key <= after })
	more := len(keys) > pageSize
	items := []map[string]any{}
	for _, key := range keys[:min(len(keys), pageSize)] {
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(t.newest[key].value), "offset": t.newest[key].offset})
	}
	return map[string]any{"items": items, "has_more": more, "end_offset": len(t.records)}
}
