//! Stand-ins of the users' platform, and the scripts of the review that run on them.

mod caller;
mod engine;
mod fleet;
mod http;
mod killed_server;
mod large_bodies;
mod reborn;
mod record;
mod restored_store;
mod retaken;
mod server;
mod stopped_twice;
mod store;
mod wire;

use engine::Content;
use retaken::Trouble;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    // A panic is a case that could not run.
    let run = std::panic::catch_unwind(|| match words.as_slice() {
        ["engine", settings] => engine::serve(settings),
        ["removed-engine", folder] => killed_server::run(folder, Content::Events),
        ["killed-server", folder] => killed_server::run(folder, Content::Text),
        ["retaken-after-stops", folder] => retaken::run(folder, Trouble::Stops),
        ["retaken-after-kills", folder] => retaken::run(folder, Trouble::Kills),
        ["large-bodies", folder] => large_bodies::run(folder),
        ["reborn", folder] => reborn::run(folder),
        ["stopped-twice", folder] => stopped_twice::run(folder),
        ["restored-store", folder] => restored_store::run(folder),
        _ => panic!("unknown case: {words:?}"),
    });
    std::process::exit(run.unwrap_or(2));
}
