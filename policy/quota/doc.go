// Package quota decides how the services divide the limits of tenants among themselves.
//
// What a tenant may have running on all executors of all services is bounded. The owners of the
// services start tasks independently of each other, so that each limit is divided into portions,
// one for each service. The portions of a tenant are stored together, in its Ledger. A Book holds
// the ledgers as the owner of one service knows them; it plans the changes of this service's
// portions and knows what may be used. It makes no calls and reads no clock.
//
// Guarantees, which hold despite lost responses, late writes and changes of owner:
//   - A portion is raised only if the sum of all portions stays within the limit that the owner
//     knows. The exception is one task that needs more than the limit, while nothing else of the
//     tenant is allotted anywhere.
//   - What may be used never exceeds what is stored: a raised portion may be used once its write is
//     acknowledged, a lowered one is respected from before its write is sent.
//   - A portion is never lowered below what its service uses.
package quota
