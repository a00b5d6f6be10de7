package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

const maxKeyBytes = 1024

// wireObject is the JSON form of an object.
type wireObject struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// wireObjects is the JSON form of the response to a list or a watch.
type wireObjects struct {
	Objects []wireObject `json:"objects"`
	Next    uint64       `json:"next"`
}

func isWrite(op object.Op) bool {
	return op == object.Put || op == object.Delete
}

// readReply converts the outcome of an exchange to a reply.
func readReply(call object.Call, ex exchange) object.Reply {
	if ex.err != nil {
		return failed(call, ex)
	}
	switch ex.code {
	case http.StatusOK:
		return readDone(call, ex)
	case http.StatusNotFound:
		return object.Reply{Status: object.NotFound}
	case http.StatusConflict:
		return readConflict(call, ex)
	}
	return failed(call, ex)
}

// failed returns the reply for an exchange without a usable response. A write that
// may have reached the platform is [object.Unknown]. It is [object.Refused] only if
// the platform's status code proves the refusal, or if nothing was sent.
func failed(call object.Call, ex exchange) object.Reply {
	err := ex.err
	if err == nil {
		err = fmt.Errorf("platform: status %d", ex.code)
	}
	if !ex.sent || (ex.err == nil && provesRefusal(ex.code)) {
		return object.Reply{Status: object.Refused, Err: err}
	}
	if isWrite(call.Op) || ex.code == 0 || ex.err != nil {
		return object.Reply{Status: object.Unknown, Err: err}
	}
	return object.Reply{Status: object.Refused, Err: err}
}

// provesRefusal reports whether a status code proves that a write was not carried out.
// Gateway errors (502, 504) and internal errors (500) prove nothing.
func provesRefusal(code int) bool {
	if code == http.StatusServiceUnavailable || code == http.StatusTooManyRequests {
		return true
	}
	return code >= http.StatusBadRequest && code < http.StatusInternalServerError
}

func readDone(call object.Call, ex exchange) object.Reply {
	if call.Op == object.List {
		objs, _, err := decodeObjects(call.Key, ex.body)
		if err != nil {
			return object.Reply{Status: object.Unknown, Err: err}
		}
		return object.Reply{Status: object.Done, Objects: objs}
	}
	obj, err := decodeObject(call.Key, ex.body)
	if err != nil {
		return object.Reply{Status: object.Unknown, Err: err}
	}
	return object.Reply{Status: object.Done, Object: obj}
}

func readConflict(call object.Call, ex exchange) object.Reply {
	obj, err := decodeObject(call.Key, ex.body)
	if err != nil {
		// The status alone proves the conflict; the current object stays unknown.
		return object.Reply{Status: object.Conflict, Err: err}
	}
	return object.Reply{Status: object.Conflict, Object: obj}
}

func decodeObject(key object.Key, body []byte) (object.Object, error) {
	var w wireObject
	if err := json.Unmarshal(body, &w); err != nil {
		return object.Object{}, fmt.Errorf("platform: response: %w", err)
	}
	obj, err := w.object()
	if err != nil {
		return object.Object{}, err
	}
	if obj.Key != key {
		return object.Object{}, fmt.Errorf("platform: response contains object %q, want %q", obj.Key, key)
	}
	return obj, nil
}

func decodeObjects(prefix object.Key, body []byte) ([]object.Object, object.Version, error) {
	var w wireObjects
	if err := json.Unmarshal(body, &w); err != nil {
		return nil, 0, fmt.Errorf("platform: response: %w", err)
	}
	objs := make([]object.Object, 0, len(w.Objects))
	for _, wo := range w.Objects {
		obj, err := wo.object()
		if err != nil {
			return nil, 0, err
		}
		if !strings.HasPrefix(string(obj.Key), string(prefix)) {
			return nil, 0, fmt.Errorf("platform: response contains object %q, want prefix %q", obj.Key, prefix)
		}
		objs = append(objs, obj)
	}
	return objs, object.Version(w.Next), nil
}

func (w wireObject) object() (object.Object, error) {
	if w.Key == "" || len(w.Key) > maxKeyBytes {
		return object.Object{}, errors.New("platform: response: bad key")
	}
	if len(w.Value) > object.MaxValueBytes {
		return object.Object{}, fmt.Errorf("platform: response: value of %q too large", w.Key)
	}
	return object.Object{Key: object.Key(w.Key), Version: object.Version(w.Version), Value: w.Value}, nil
}
