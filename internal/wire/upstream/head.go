package upstream

import (
	"errors"
	"net/http"

	"github.com/ansel1/merry/v2"

	"wagtailshelf.example/wagtailshelf/internal/wire/response"
)

// readHead reads the head of the next response on the connection. Interim responses before it are
// skipped; their heads count for the bound, which is all that bounds their number.
func (c *Conn) readHead(method string) (*http.Response, error) {
	arrived, err := c.r.Peek(c.r.Buffered())
	if err != nil {
		return nil, merry.Wrap(ErrConnectionFailed, merry.AppendMessage(err.Error()))
	}
	if err := c.net.Begin(arrived); err != nil {
		return nil, err
	}
	for {
		w, err := http.ReadResponse(c.r, &http.Request{Method: method})
		switch {
		case errors.Is(err, response.ErrHeadTooLong), errors.Is(err, response.ErrMalformed):
			return nil, err
		case err != nil:
			return nil, merry.Wrap(ErrConnectionFailed, merry.AppendMessage(err.Error()))
		case w.StatusCode < 100 || w.StatusCode >= 200:
			return w, nil
		}
	}
}
