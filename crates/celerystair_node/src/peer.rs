//! gRPC service through which peers fetch the configuration, objects and instance states. A process
//! that learns of a higher revision can fetch it from a peer that has it, even while the store is
//! down.

use celerystair_protocol::{FetchConfigReply, FetchConfigRequest, peer_server::Peer};
use send_wrapper::SendWrapper;
use tonic::{Request, Response, Status};

use crate::{node::Node, share::handle_request};

/// Implementation of the peer service; bound to the thread of its node.
pub struct PeerService {
    node: SendWrapper<Node>,
}

impl PeerService {
    /// Creates the service of `node`.
    pub fn new(node: &Node) -> Self {
        Self {
            node: SendWrapper::new(node.clone()),
        }
    }
}

#[tonic::async_trait]
impl Peer for PeerService {
    async fn fetch_config(
        &self,
        request: Request<FetchConfigRequest>,
    ) -> Result<Response<FetchConfigReply>, Status> {
        let request = request.into_inner();
        self.node.observe(request.stamp.as_ref());
        let current = self.node.config.current();
        let document = if current.revision > request.revision {
            serde_json::to_vec(&*current).map_err(|error| Status::internal(error.to_string()))?
        } else {
            Vec::new()
        };
        let heard = if request.list_heard {
            self.node.known_peers.to_messages()
        } else {
            Vec::new()
        };
        let requester = request.stamp.as_ref();
        let requester = requester.and_then(|stamp| stamp.peer_address.parse().ok());
        let shared = request
            .shared
            .as_ref()
            .map(|request| handle_request(&self.node, requester, request));
        Ok(Response::new(FetchConfigReply {
            heard,
            shared,
            stamp: self.node.stamp(),
            revision: current.revision,
            document: document.into(),
        }))
    }
}
