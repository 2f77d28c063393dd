package keyvalue

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/bergamotway/bergamotway/internal/keyvalue"
)

type wireEntry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	WriteID  string `json:"write-id"`
	Revision uint64 `json:"revision"`
}

const (
	keysPath  = "/v1/keys/"
	watchPath = "/v1/watch/"
	listPath  = "/v1/list"
)

// Handle serves the HTTP API: single keys, watches and lists of keys with a prefix.
func (sv *Service) Handle(fc *fasthttp.RequestCtx) {
	path := string(fc.Request.URI().PathOriginal())
	args := fc.QueryArgs()
	switch {
	case path == listPath:
		sv.handleList(fc, string(args.Peek("prefix")))
	case strings.HasPrefix(path, watchPath):
		timeout := time.Duration(intArg(args, "wait-ms")) * time.Millisecond
		en, err := sv.Watch(context.Background(), "", keyFromPath(path, watchPath), uint64(intArg(args, "after")), timeout)
		writeEntry(fc, en, err)
	case strings.HasPrefix(path, keysPath) && fc.IsPut():
		sv.handlePut(fc, keyFromPath(path, keysPath))
	case strings.HasPrefix(path, keysPath):
		en, err := sv.Get(context.Background(), "", keyFromPath(path, keysPath))
		writeEntry(fc, en, err)
	default:
		fc.SetStatusCode(http.StatusNotFound)
	}
}

func (sv *Service) handlePut(fc *fasthttp.RequestCtx, key string) {
	args := fc.QueryArgs()
	en, err := sv.CompareAndSwap(context.Background(), "", keyvalue.Write{
		Key:      key,
		Value:    fc.PostBody(),
		WriteID:  string(args.Peek("write-id")),
		Revision: uint64(intArg(args, "revision")),
		TTL:      time.Duration(intArg(args, "ttl-ms")) * time.Millisecond,
	})
	var ce *keyvalue.ConflictError
	if errors.As(err, &ce) {
		writeEntry(fc, ce.Current(), nil)
		fc.SetStatusCode(http.StatusConflict)
		return
	}
	writeEntry(fc, en, err)
	fc.Response.ResetBody()
}

func (sv *Service) handleList(fc *fasthttp.RequestCtx, prefix string) {
	entries, err := sv.List(context.Background(), "", prefix)
	if err != nil {
		fc.Error(err.Error(), http.StatusInternalServerError)
		return
	}
	out := make([]wireEntry, 0, len(entries))
	for _, en := range entries {
		out = append(out, wireEntry{Key: en.Key(), Value: en.Value(), WriteID: en.WriteID(), Revision: en.Revision()})
	}
	data, err := json.Marshal(out)
	if err != nil {
		fc.Error(err.Error(), http.StatusInternalServerError)
		return
	}
	fc.SetBody(data)
}

func writeEntry(fc *fasthttp.RequestCtx, en keyvalue.Entry, err error) {
	switch {
	case err != nil:
		fc.Error(err.Error(), http.StatusBadRequest)
	case en.Revision() == 0:
		fc.SetStatusCode(http.StatusNotFound)
		fc.Response.Header.Set("X-Revision", "0")
	default:
		fc.Response.Header.Set("X-Revision", strconv.FormatUint(en.Revision(), 10))
		fc.Response.Header.Set("X-Write-Id", en.WriteID())
		fc.SetBody(en.Value())
	}
}

func keyFromPath(path, prefix string) string {
	key, err := url.PathUnescape(strings.TrimPrefix(path, prefix))
	if err != nil {
		return ""
	}
	return key
}

// intArg returns a query argument as a number, or 0 if it is missing or invalid.
func intArg(args *fasthttp.Args, name string) int64 {
	n, err := strconv.ParseInt(string(args.Peek(name)), 10, 64)
	if err != nil {
		return 0
	}
	return n
}
