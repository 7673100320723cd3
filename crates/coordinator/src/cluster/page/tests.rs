use super::render;
use cairnroad_cluster::gossip_state::{GossipValue, MemberPhase};
use cairnroad_cluster::{Membership, MembershipConfig, Output, TICK_INTERVAL};
use cairnroad_types::Time;
use std::net::SocketAddr;

const FIRST_PORT: u16 = 4001;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn member(name: &str, port: u16, start: Time) -> Membership {
    let config = MembershipConfig {
        cluster_name: "sapporo".into(),
        name: name.into(),
        room: "kita".into(),
        offers: vec!["reports".into()],
        address: address(port),
        generation: 1_790_000_000_000,
        member_names: ["n1", "n2", "n3"].map(String::from).into(),
        seeds: vec![address(FIRST_PORT), address(FIRST_PORT + 1)],
        random_seed: u64::from(port),
    };
    Membership::new(config, start)
}

/// Runs two members for three seconds and delivers each datagram immediately.
fn run(members: &mut [Membership; 2], start: Time) {
    for tick in 0..30 {
        let now = start + f64::from(tick) * TICK_INTERVAL;
        let mut outputs = Vec::new();
        for member in members.iter_mut() {
            member.tick(now, &mut outputs);
        }
        while let Some(output) = outputs.pop() {
            if let Output::SendDatagram { to, bytes } = output {
                let receiver = usize::from(to.port() - FIRST_PORT);
                members[receiver].on_datagram(now, &bytes, &mut outputs);
            }
        }
    }
}

/// Guards against renames in the code that change a key or value of the page, which operators' programs parse.
#[test]
fn the_page_keeps_its_keys_and_values() {
    let start = Time::from_secs(1_790_000_000.0);
    let mut members = [
        member("n1", FIRST_PORT, start),
        member("n2", FIRST_PORT + 1, start),
    ];
    members[1].publish(start, GossipValue::Phase(MemberPhase::Serving));
    run(&mut members, start);
    members[0].on_datagram(start + 2.9, b"noise", &mut Vec::new());
    let expected = concat!(
        r#"{"address":"127.0.0.1:4001","agree":1,"differ":0,"digest":"60df017c565920d6","doubt":0,"doubted":{},"#,
        r#""dropped":{"a foreign cluster":0,"a foreign version":0,"garbage":1,"not for this coordinator":0,"#,
        r#""too many members":0},"epoch":2,"generation":1790000000000,"may":{"actforall":true,"heed":true,"#,
        r#""serve":true,"takeover":true,"tell":true},"members":[{"address":"127.0.0.1:4002","for_s":3.0,"#,
        r#""generation":1790000000000,"incarnation":0,"name":"n2","offers":["reports"],"phase":"serving","#,
        r#""returns":0,"room":"kita","state":"alive"}],"name":"n1","replaced_by":null,"returns":0,"#,
        r#""standing":"majority","there":2}"#,
    );
    assert_eq!(render(&members[0], "n1", start + 3.0), expected);
}
