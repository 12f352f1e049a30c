//! The rig's command line: `cargo run --release -p sillward-scenarios -- SCENARIO --seed N [--plant FAULT]`.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand, ValueEnum};
use sillward_scenarios::scenario::{
    self, demo, etcd, few, fleet, load, night, pages, plain, plants, sizes, thrift,
};
use sillward_scenarios::tally::{BINARY, Caller, End, origin};
use sillward_thrift::wire::Encoding;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, ExitCode};

/// Stand-ins, faults and load for a node.
#[derive(Parser)]
struct Arguments {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Lists the scenarios and the faults that can be planted in them
    List,
    /// Stand-in backends, their roster and a node, with calls of both protocols, to look at
    Demo {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Ends by itself after so many seconds
        #[arg(long)]
        seconds: Option<u64>,
    },
    /// Callers of both encodings against tally boxes that are killed and restarted
    Thrift {
        #[arg(long)]
        seed: u64,
        /// double-send: some corrections are sent a second time
        #[arg(long)]
        plant: Option<Plant>,
        #[arg(long, default_value_t = 20)]
        seconds: u64,
        /// Calls a second
        #[arg(long, default_value_t = 240)]
        rate: u64,
    },
    /// Steady load while etcd compacts, restarts, stalls and drains backends
    Etcd {
        #[arg(long)]
        seed: u64,
        /// forget-compacted: what was compacted away is never told; empty-on-silence: a stall tells that all is gone
        #[arg(long)]
        plant: Option<EtcdPlant>,
        #[arg(long, default_value_t = 20)]
        seconds: u64,
    },
    /// A dozen callers at one or two healthy boxes: nothing may be refused, nothing sent twice
    Few {
        #[arg(long)]
        seed: u64,
        /// turn-away: a box turns some calls away; late: a box answers some after their budget
        #[arg(long)]
        plant: Option<FewPlant>,
        #[arg(long, default_value_t = 1)]
        boxes: usize,
        #[arg(long, default_value_t = 12)]
        callers: usize,
        /// Calls of each caller
        #[arg(long, default_value_t = 300)]
        calls: usize,
        /// A box answers within so many milliseconds
        #[arg(long, default_value_t = 8)]
        most_ms: u64,
        /// But one call in fifty within so many
        #[arg(long, default_value_t = 200)]
        tail_ms: u64,
        #[arg(long, default_value_t = 1500)]
        budget_ms: u64,
        /// Second attempts beside a silent first one are allowed
        #[arg(long)]
        parallel: bool,
    },
    /// The node's processor time for Thrift calls and HTTP calls of the same body
    Load {
        /// Calls of each kind
        #[arg(long, default_value_t = 48_000)]
        calls: usize,
    },
    /// Processes of the shipped program on the ground, with faults between them and to them
    Fleet(fleet::Options),
    /// Whole nights on a virtual clock: faults from seeds, the four rules checked at every step
    Night(night::Options),
    /// Runs every command of the README and of the pages for operators, as it stands
    Pages {
        /// These alone, by their paths from the repository's root
        pages: Vec<String>,
        /// stale: the first command of each page is misspelt
        #[arg(long)]
        plant: Option<PagesPlant>,
    },
    /// What the fleet costs the plain path: processor time of a call with it and without, and at an earlier build
    Plain {
        /// Calls at each node
        #[arg(long, default_value_t = 96_000)]
        calls: usize,
        #[arg(long, default_value_t = 8)]
        rounds: usize,
        /// Members of the fleet
        #[arg(long, default_value_t = 12)]
        nodes: usize,
        /// An earlier build of the program
        #[arg(long, value_name = "PROGRAM")]
        before: Option<std::path::PathBuf>,
    },
    /// Plays each plant of each short scenario once: each must be found by the check that is meant for it
    Plants {
        /// So many side by side
        #[arg(long, default_value_t = 2)]
        jobs: usize,
    },
    /// What membership costs and how fast it is at these sizes, on a virtual clock
    Sizes {
        #[arg(long, value_delimiter = ',', default_value = "12,30,100,300,734")]
        nodes: Vec<usize>,
        #[arg(long, value_delimiter = ',', default_value = "1")]
        seeds: Vec<u64>,
        /// Deaths, and as many births
        #[arg(long, default_value_t = 5)]
        rounds: usize,
        #[arg(long, default_value_t = 256)]
        frame_bytes: usize,
    },
    /// Puts a value
    Put {
        #[command(subcommand)]
        into: PutInto,
    },
    /// Makes one call, and shows its answer
    Call {
        #[command(subcommand)]
        protocol: CallBy,
    },
    /// Runs a stand-in alone
    Serve {
        #[command(subcommand)]
        stand_in: StandIn,
    },
}

#[derive(Subcommand)]
enum StandIn {
    /// A tally box
    Thrift {
        #[arg(long)]
        encoding: Wording,
        #[arg(long)]
        listen: SocketAddr,
    },
    /// An etcd: any client may Put and Watch
    Etcd {
        #[arg(long)]
        listen: SocketAddr,
    },
}

#[derive(Subcommand)]
enum PutInto {
    /// Into an etcd
    Etcd {
        #[arg(long)]
        to: SocketAddr,
        key: String,
        value: String,
    },
}

#[derive(Subcommand)]
enum CallBy {
    /// A method of the service Tally
    Thrift {
        #[arg(long)]
        encoding: Wording,
        #[arg(long)]
        to: SocketAddr,
        /// Its full name
        #[arg(long, default_value = "Tally:read")]
        method: String,
        #[arg(long, default_value = "1f")]
        station: String,
        #[arg(long, default_value = "")]
        key: String,
    },
}

#[derive(Clone, Copy, ValueEnum)]
enum Plant {
    DoubleSend,
}

#[derive(Clone, Copy, ValueEnum)]
enum PagesPlant {
    Stale,
}

#[derive(Clone, Copy, ValueEnum)]
enum FewPlant {
    TurnAway,
    Late,
}

#[derive(Clone, Copy, ValueEnum)]
enum EtcdPlant {
    ForgetCompacted,
    EmptyOnSilence,
}

#[derive(Clone, Copy, ValueEnum)]
enum Wording {
    Binary,
    Compact,
}

impl From<Wording> for Encoding {
    fn from(wording: Wording) -> Self {
        match wording {
            Wording::Binary => BINARY,
            Wording::Compact => Encoding::Compact,
        }
    }
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    if matches!(
        arguments.what,
        What::Demo { .. }
            | What::Thrift { .. }
            | What::Etcd { .. }
            | What::Few { .. }
            | What::Fleet(_)
            | What::Load { .. }
            | What::Pages { .. }
            | What::Plants { .. }
            | What::Plain { .. }
    ) && !build()
    {
        eprintln!("the node could not be built");
        return ExitCode::FAILURE;
    }
    ExitCode::from(match arguments.what {
        What::List => {
            for listed in scenario::ALL {
                println!(
                    "{}: {}; plants: {}",
                    listed.name,
                    listed.what,
                    listed.plants.join(", ")
                );
            }
            0
        }
        What::Demo { seed, seconds } => demo::run(seed, seconds),
        What::Thrift {
            seed,
            plant,
            seconds,
            rate,
        } => {
            let double_send = matches!(plant, Some(Plant::DoubleSend));
            thrift::run(&thrift::Options {
                seed,
                seconds,
                rate,
                double_send,
            })
        }
        What::Etcd {
            seed,
            plant,
            seconds,
        } => {
            let forgets = matches!(plant, Some(EtcdPlant::ForgetCompacted));
            let empties = matches!(plant, Some(EtcdPlant::EmptyOnSilence));
            etcd::run(&etcd::Options {
                seed,
                seconds,
                forgets,
                empties,
            })
        }
        What::Few {
            seed,
            plant,
            boxes,
            callers,
            calls,
            most_ms,
            tail_ms,
            budget_ms,
            parallel,
        } => {
            let turn_away = matches!(plant, Some(FewPlant::TurnAway));
            let late = matches!(plant, Some(FewPlant::Late));
            let options = few::Options {
                seed,
                boxes,
                callers,
                calls,
                most_ms,
                tail_ms,
                budget_ms,
                parallel,
                turn_away,
                late,
            };
            few::run(&options)
        }
        What::Fleet(options) => fleet::run(&options),
        What::Load { calls } => load::run(calls),
        What::Night(options) => night::run(&options),
        What::Pages { pages, plant } => pages::run(&pages::Options {
            pages,
            stale: matches!(plant, Some(PagesPlant::Stale)),
        }),
        What::Plain {
            calls,
            rounds,
            nodes,
            before,
        } => plain::run(&plain::Options {
            calls,
            rounds,
            nodes,
            before,
        }),
        What::Plants { jobs } => plants::run(jobs),
        What::Sizes {
            nodes,
            seeds,
            rounds,
            frame_bytes,
        } => sizes::run(&sizes::Options {
            nodes,
            seeds,
            rounds,
            frame_bytes,
        }),
        What::Put {
            into: PutInto::Etcd { to, key, value },
        } => match sillward_scenarios::etcd::put(to, &key, &value) {
            Ok(revision) => {
                println!("revision {revision}");
                0
            }
            Err(e) => {
                eprintln!("cannot put into {to}: {e}");
                1
            }
        },
        What::Call {
            protocol:
                CallBy::Thrift {
                    encoding,
                    to,
                    method,
                    station,
                    key,
                },
        } => match Caller::try_connect(to, encoding.into()) {
            Ok(mut caller) => {
                let answer = caller.call(&method, &[origin(&station, &key, 1000)]);
                println!("{:?}: {answer:?}", answer.end());
                u8::from(answer.end() != End::Served)
            }
            Err(e) => {
                eprintln!("cannot connect to {to}: {e}");
                1
            }
        },
        What::Serve {
            stand_in: StandIn::Etcd { listen },
        } => {
            let etcd = sillward_scenarios::etcd::Etcd::start_with(listen, None);
            println!("an etcd listens on {}", etcd.address);
            loop {
                std::thread::park();
            }
        }
        What::Serve {
            stand_in: StandIn::Thrift { encoding, listen },
        } => {
            let tally = load::serve(encoding.into(), listen);
            println!("a tally box listens on {}", tally.address);
            loop {
                std::thread::park();
            }
        }
    })
}

/// Builds the node beside this program, as cargo built this. Started by itself, it takes the node that is there.
fn build() -> bool {
    let Some(cargo) = std::env::var_os("CARGO") else {
        return true;
    };
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    // The program as it ships, and beside it the one with faults within, for the ground.
    [
        &["--bin", "sillward"][..],
        &["--bin", "sillward-faults", "--features", "faults"],
    ]
    .iter()
    .all(|which| {
        let mut command = Command::new(&cargo);
        command
            .args(["build", "--quiet", "-p", "sillward"])
            .args(*which)
            .current_dir(&root);
        if !cfg!(debug_assertions) {
            command.arg("--release");
        }
        command.status().is_ok_and(|status| status.success())
    })
}
