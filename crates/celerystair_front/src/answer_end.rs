//! Finding out whether an answer that has ended is whole, by its framing and its upstream's process.

use celerystair_core::{prelude::*, time::before_deadline};
use celerystair_policy::prelude::*;
use http::HeaderMap;

use crate::{
    connections::{ConnectError, connect},
    framing::Framing,
    front::PlatformRouter,
    request::CallerRequest,
    upstream::Upstream,
};

/// How often an upstream is asked whose address doesn't answer in time.
const ASKED_MAX: u32 = 2;

/// Returns what is known of the end of an answer that has ended as HTTP requires. If only its connection
/// marked it, opens the connection that replaces the closed one, also to an upstream that leaves.
pub async fn find_answer_end(
    router: &PlatformRouter,
    request: &CallerRequest,
    upstream: &Upstream,
    framing: Framing,
) -> AnswerEnd {
    if framing == Framing::Marked {
        return AnswerEnd::Marked;
    }
    let asking = async {
        sleep_ms(PROCESS_END_MS).await;
        for _ in 0..ASKED_MAX {
            let listening = ask(upstream).await;
            if listening != Listening::Silent {
                return listening;
            }
        }
        Listening::Silent
    };
    let answered = before_deadline(request.deadline_unix_ms, asking).await;
    let listening = answered.unwrap_or(Listening::Silent);
    let end = AnswerEnd::by_upstream(listening, is_later_process(router, upstream));
    router.count_answer_end(request, upstream, end);
    end
}

async fn ask(upstream: &Upstream) -> Listening {
    let address = upstream.entry.borrow().address;
    match connect(address).await {
        Ok(connection) => {
            if upstream.state() == UpstreamState::Ready {
                upstream.connections.keep(connection, &HeaderMap::new());
            }
            Listening::Accepts
        }
        Err(ConnectError::Refused) => Listening::Refuses,
        Err(ConnectError::NoAnswer) => Listening::Silent,
    }
}

/// Whether the list names a later process at the upstream's address or under its id.
fn is_later_process(router: &PlatformRouter, upstream: &Upstream) -> bool {
    let listed = router.view.upstream(&upstream.id());
    let is_listed_anew =
        listed.is_some_and(|listed| listed.incarnation() != upstream.incarnation());
    is_listed_anew || upstream.is_replaced()
}
