//! The replicated log keeps its promises in each scenario, and each broken variant is found out.

use kqr_spec::{
    Verdict,
    agreement::{Agreement, AgreementBudget, AgreementFault, AgreementScenario},
    search,
};

/// Most states of one search.
const MOST: usize = 400_000;

const NOTHING: AgreementBudget = AgreementBudget {
    timeouts: 0,
    heartbeats: 0,
    proposals: 0,
    duplicates: 0,
    crashes: 0,
    compactions: 0,
    handovers: 0,
};

const TWO_CAMPAIGNS: AgreementScenario = AgreementScenario {
    name: "two members of three campaign",
    voters: 3,
    campaigners: 2,
    capacity: 1,
    budget: AgreementBudget {
        timeouts: 2,
        ..NOTHING
    },
    fault: None,
};

fn with(name: &'static str, budget: AgreementBudget) -> AgreementScenario {
    AgreementScenario {
        name,
        budget,
        ..TWO_CAMPAIGNS
    }
}

fn verdict(scenario: AgreementScenario) -> Verdict {
    let verdict = search(&Agreement::new(scenario), MOST);
    println!("{}: {verdict}", scenario.name);
    verdict
}

#[test]
fn the_promises_hold() {
    let scenarios = [
        TWO_CAMPAIGNS,
        with(
            "a crash",
            AgreementBudget {
                timeouts: 2,
                crashes: 1,
                ..NOTHING
            },
        ),
        with(
            "a proposal",
            AgreementBudget {
                timeouts: 2,
                proposals: 1,
                ..NOTHING
            },
        ),
        with(
            "a duplicate",
            AgreementBudget {
                timeouts: 2,
                duplicates: 1,
                ..NOTHING
            },
        ),
        with(
            "a handover",
            AgreementBudget {
                timeouts: 1,
                handovers: 1,
                ..NOTHING
            },
        ),
    ];
    let restarts = AgreementBudget {
        timeouts: 2,
        proposals: 1,
        crashes: 1,
        compactions: 1,
        ..NOTHING
    };
    let alone = AgreementScenario {
        campaigners: 1,
        ..with(
            "a proposal, a compaction and a crash, one member campaigns",
            restarts,
        )
    };
    for scenario in scenarios.into_iter().chain([alone]) {
        let verdict = verdict(scenario);
        assert!(
            matches!(verdict, Verdict::Holds { .. }),
            "{}: {verdict}",
            scenario.name
        );
    }
}

#[test]
fn each_broken_variant_yields_a_trace() {
    let crash = AgreementBudget {
        timeouts: 2,
        crashes: 1,
        ..NOTHING
    };
    let crash_after_proposal = AgreementBudget {
        timeouts: 2,
        proposals: 1,
        crashes: 1,
        ..NOTHING
    };
    let proposal = AgreementBudget {
        timeouts: 2,
        proposals: 1,
        ..NOTHING
    };
    let variants = [
        (AgreementFault::ForgetsVotes, crash),
        (AgreementFault::ForgetsEntries, crash_after_proposal),
        (AgreementFault::KeepsIdentityWithoutDisk, crash),
        (AgreementFault::CountsRefusals, proposal),
        (AgreementFault::CountsOnlyItself, TWO_CAMPAIGNS.budget),
    ];
    for (fault, budget) in variants {
        let scenario = AgreementScenario {
            fault: Some(fault),
            ..with("broken", budget)
        };
        let verdict = verdict(scenario);
        let is_found = matches!(&verdict, Verdict::Violated { trace, .. } if !trace.is_empty());
        assert!(is_found, "{fault:?}: {verdict}");
    }
}
