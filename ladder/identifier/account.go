package identifier

// AccountName names a client account.
type AccountName string

// StartNumber numbers the starts of requests that an incarnation has recorded, from 1.
type StartNumber uint64
