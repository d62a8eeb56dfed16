package generator

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke/bench/outcome"
	"github.com/pkg/errors"
)

const (
	// callTimeout is how long a caller waits for the end of its answer.
	callTimeout   = 30 * time.Second
	maxTries      = 3
	paymentTokens = 1
	bytesPerToken = 4
	// codeTransport is the code of a call that got no answer at all.
	codeTransport = "transport"
)

// entry is a VM's answer to the question which addresses to use.
type entry struct {
	Addresses   []string `json:"addresses"`
	KeepSeconds float64  `json:"keep_seconds"`

	until time.Time
}

type failure struct {
	Error struct {
		Code string `json:"code"`
		Run  string `json:"run"`
	} `json:"error"`
}

type event struct {
	failure
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// addresses keeps the answer for each client account as long as it allows.
func (g *Generator) addresses(ctx context.Context, account string) []string {
	g.mu.Lock()
	kept, ok := g.answers[account]
	g.mu.Unlock()
	if ok && time.Now().Before(kept.until) {
		return kept.Addresses
	}
	for _, address := range append(kept.Addresses, g.Entries...) {
		fresh, err := g.askEntry(ctx, address)
		if err != nil || len(fresh.Addresses) == 0 {
			continue
		}
		g.mu.Lock()
		if g.answers == nil {
			g.answers = make(map[string]entry)
		}
		g.answers[account] = fresh
		g.mu.Unlock()
		return fresh.Addresses
	}
	return g.Entries
}

func (g *Generator) askEntry(ctx context.Context, address string) (entry, error) {
	var got entry
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/entry", nil)
	if err != nil {
		return got, err
	}
	resp, err := g.client.Do(req)
	if err != nil {
		return got, err
	}
	defer resp.Body.Close()
	err = json.NewDecoder(resp.Body).Decode(&got)
	got.until = time.Now().Add(time.Duration(got.KeepSeconds * float64(time.Second)))
	return got, err
}

// do sends a call to the preferred VM, and to the next ones where a VM can't be reached; a generation that may have
// reached its VM is not sent again.
func (g *Generator) do(ctx context.Context, a arrival, method, path, body string, header map[string]string) (*http.Response, error) {
	var last error
	addresses := g.addresses(ctx, a.account)
	for try := range min(maxTries, len(addresses)) {
		req, err := http.NewRequestWithContext(ctx, method, "http://"+addresses[try]+path, strings.NewReader(body))
		if err != nil {
			return nil, err
		}
		req.Header.Set("Authorization", "Bearer "+g.Keys[a.account])
		req.Header.Set("Content-Type", "application/json")
		for name, value := range header {
			req.Header.Set(name, value)
		}
		resp, err := g.client.Do(req)
		if err == nil {
			return resp, nil
		}
		last = err
		var failed *net.OpError
		mayHaveArrived := !errors.As(err, &failed) || failed.Op != "dial"
		if ctx.Err() != nil || mayHaveArrived && a.kind == "generation" {
			break
		}
	}
	return nil, errors.Wrap(last, "call a VM")
}

// generate streams one answer and checks that it is whole and the request's own.
func (g *Generator) generate(ctx context.Context, a arrival, out *outcome.Outcome) {
	prompt := g.prompt(a)
	sum := sha256.Sum256([]byte(prompt))
	out.Mark = hex.EncodeToString(sum[:])
	out.CostTokens = int64(len(prompt)+bytesPerToken-1)/bytesPerToken + g.Scenario.MaxOutputTokens
	body := fmt.Sprintf(`{"model":"profile_%d","prompt":%q,"max_tokens":%d,"stream":true}`,
		a.adapter, prompt, g.Scenario.MaxOutputTokens)
	resp, err := g.do(ctx, a, http.MethodPost, "/v1/completions", body, nil)
	if err != nil {
		out.Code = codeTransport
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		refuse(resp, out)
		return
	}
	want := fmt.Sprintf("adapter_%d@1/%s/", a.adapter, out.Mark[:8])
	readStream(resp.Body, want, out)
}

func readStream(body io.Reader, want string, out *outcome.Outcome) {
	out.Cut = true
	last := time.Now()
	tokens := 0
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			out.Cut = false
			out.Whole = tokens > 0 && !out.Wrong
			return
		}
		var e event
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			out.Wrong = true
			return
		}
		if e.Error.Code != "" {
			out.Code, out.Run = e.Error.Code, e.Error.Run
			return
		}
		for _, choice := range e.Choices {
			for _, word := range strings.Fields(choice.Text) {
				out.Wrong = out.Wrong || word != fmt.Sprint(want, tokens)
				tokens++
			}
		}
		now := time.Now()
		if out.FirstToken == 0 {
			out.FirstToken = now.Sub(out.Intended)
		} else {
			out.Gaps = append(out.Gaps, now.Sub(last))
		}
		last = now
	}
}

// pay makes one payment; where no answer comes it is sent again, through another VM, with the same idempotency key.
func (g *Generator) pay(ctx context.Context, a arrival, out *outcome.Outcome) {
	out.CostTokens = paymentTokens
	body := fmt.Sprintf(`{"payment":%d,"client_account":%q}`, a.number, a.account)
	sum := sha256.Sum256([]byte(body))
	out.Mark = hex.EncodeToString(sum[:])
	resp, err := g.do(ctx, a, http.MethodPost, "/v1/idempotency_keys", "", nil)
	if err != nil {
		out.Code, out.Run = codeTransport, "not_run"
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusCreated {
		refuse(resp, out)
		return
	}
	var issued struct {
		Key string `json:"idempotency_key"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&issued); err != nil {
		out.Code = codeTransport
		return
	}
	header := map[string]string{"Idempotency-Key": issued.Key}
	g.call(ctx, a, http.MethodPost, "/payments", body, header, out)
}

func (g *Generator) ask(ctx context.Context, a arrival, out *outcome.Outcome) {
	out.CostTokens = paymentTokens
	path := fmt.Sprintf("/status/%d", a.number)
	out.Mark = path
	g.call(ctx, a, http.MethodGet, path, "", nil, out)
}

func (g *Generator) call(
	ctx context.Context, a arrival, method, path, body string, header map[string]string, out *outcome.Outcome,
) {
	resp, err := g.do(ctx, a, method, "/v1/services/booking"+path, body, header)
	if err != nil {
		out.Code = codeTransport
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		refuse(resp, out)
		return
	}
	answer, err := io.ReadAll(resp.Body)
	out.Cut = err != nil
	out.Wrong = err == nil && !strings.Contains(string(answer), fmt.Sprintf("%q", out.Mark))
	out.Whole = !out.Cut && !out.Wrong
}

func refuse(resp *http.Response, out *outcome.Outcome) {
	var f failure
	if err := json.NewDecoder(resp.Body).Decode(&f); err != nil || f.Error.Code == "" {
		f.Error.Code = fmt.Sprint("http_", resp.StatusCode)
	}
	out.Code, out.Run = f.Error.Code, f.Error.Run
}
