// Package sizing measures what each role of the system costs at growing sizes,
// with real instance processes and small fake workers, and works out the slopes
// that docs/CAPACITY.md uses.
package sizing
