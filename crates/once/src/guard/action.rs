use celeryhaven_derives::{number, state};
use celeryhaven_types::store::StoreRequest;
use celeryhaven_types::{Incarnation, Refusal};

number! {
    /// Number that matches a reply of the Object API to the guard's call.
    OnceCall(u64)
}

state! {
    /// Action for the embedding program to execute; `T` identifies requests.
    pub enum OnceAction<T> {
        /// Run the request; its completion must be reported to the guard.
        Run {
            /// Request to run.
            ticket: T,
        },
        /// Delegate the request to the incarnation that owns its key.
        Delegate {
            /// Request to delegate.
            ticket: T,
            /// Owner of the key.
            to: Incarnation,
        },
        /// Refuse the request.
        Refuse {
            /// Request to refuse.
            ticket: T,
            /// Refusal to send to the caller.
            refusal: Refusal,
        },
        /// Answer the request with the cached answer of another one.
        Replay {
            /// Request to answer.
            ticket: T,
            /// Request whose answer is replayed.
            of: T,
        },
        /// Drop the cached answer of a request.
        DropAnswer {
            /// Request whose answer is dropped.
            ticket: T,
        },
        /// Call the Object API.
        Store {
            /// Number that matches the reply.
            call: OnceCall,
            /// Request to the Object API.
            request: StoreRequest,
        },
    }
}
