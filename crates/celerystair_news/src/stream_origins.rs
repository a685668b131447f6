//! Where streams began, as it is sent.

use celerystair_core::prelude::*;
use celerystair_policy::prelude::*;
use celerystair_protocol as protocol;

pub(crate) fn to_wire(origins: &[(StreamId, Option<StreamOrigin>)]) -> protocol::StreamOrigins {
    let origins = origins.iter().map(|(stream, origin)| {
        let origin = origin.as_ref();
        protocol::StreamOrigin {
            stream: stream.0,
            service: origin.map(|origin| origin.service.to_string()),
            software_version: origin.map(|origin| origin.version.to_string()),
        }
    });
    protocol::StreamOrigins {
        origins: origins.collect(),
    }
}

pub(crate) fn from_wire(news: protocol::StreamOrigins) -> Vec<(StreamId, Option<StreamOrigin>)> {
    let origins = news.origins.into_iter().map(|origin| {
        let known = origin.service.zip(origin.software_version);
        let known = known.map(|(service, version)| StreamOrigin {
            service: ServiceName::from(service),
            version: SoftwareVersion::from(version),
        });
        (StreamId(origin.stream), known)
    });
    origins.collect()
}
