// Package granter reserves tokens for the client accounts whose lease this VM holds.
package granter

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/minter"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/frame"
)

// prefix begins the name of a client account's lease.
const prefix = "account/"

// comeBack is when a caller should look for the lease's new holder.
const comeBack = time.Second
