//! Checks of the work rules of one service.

use base::prelude::*;
use world::prelude::*;

use crate::field;
use crate::generated::environment::{RuleClass, RuleEntry};
use crate::problem::{FieldPath, ProblemList, quoted};
use crate::service::MAX_SELECTORS;

/// The most rules of a service. Rules are searched in order on every request.
const MAX_RULES: usize = 64;
/// The methods that a rule may state. CONNECT and TRACE are not forwarded.
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

impl From<RuleClass> for WorkClass {
    fn from(class: RuleClass) -> Self {
        match class {
            RuleClass::Urgent => Self::Urgent,
            RuleClass::Normal => Self::Normal,
            RuleClass::Deferrable => Self::Deferrable,
        }
    }
}

/// Checks and returns the rules of a service that receives the paths under `scopes`.
pub(crate) fn check_rules(
    list: &FieldPath,
    entries: &[RuleEntry],
    scopes: &[SharedName],
    problems: &mut ProblemList,
) -> Vec<WorkRule> {
    field::length(list, entries.len(), 1..=MAX_RULES, problems);
    let rules: Vec<WorkRule> = entries
        .iter()
        .enumerate()
        .map(|(index, entry)| check_rule(&list.item(index), entry, problems))
        .collect();
    if rules.len() <= MAX_RULES && scopes.len() <= MAX_SELECTORS {
        check_reachable(list, &rules, scopes, problems);
        check_catch_all(list, &rules, scopes, problems);
    }
    rules
}

fn check_rule(path: &FieldPath, entry: &RuleEntry, problems: &mut ProblemList) -> WorkRule {
    if let Some(method) = entry.method.as_deref().filter(|method| !METHODS.contains(method)) {
        let reason = format!("{} is not a method", quoted(method));
        let remedy = format!("use one of {}, or leave the field out", METHODS.join(", "));
        problems.report(&path.field("method"), reason, remedy);
    }
    let path_prefix = field::path_prefix(&path.field("path_prefix"), &entry.path_prefix, problems);
    let class = WorkClass::from(entry.class.unwrap_or_default());
    check_deferred(path, entry, class, problems);
    WorkRule {
        method: entry.method.as_deref().map(SharedName::from),
        path_prefix,
        idempotent: entry.idempotent,
        class,
        deferred: entry.deferred,
    }
}

fn check_deferred(
    path: &FieldPath,
    entry: &RuleEntry,
    class: WorkClass,
    problems: &mut ProblemList,
) {
    if !entry.deferred {
        return;
    }
    if !entry.idempotent {
        problems.report(
            &path.field("deferred"),
            "stored work may run again when its lease is lost, but the rule is not idempotent",
            "set idempotent if a second run is harmless, or remove deferred",
        );
    }
    if class != WorkClass::Deferrable {
        problems.report(
            &path.field("class"),
            format!("stored work runs later, but the class is {}", class.as_str()),
            "set the class to deferrable, or remove deferred",
        );
    }
}

/// Returns the path prefix within `scope` to which `rule` applies, or `None` if it applies to none.
fn applicable_prefix<'a>(rule: &'a WorkRule, scope: &'a SharedName) -> Option<&'a str> {
    let prefix = rule.path_prefix.as_str();
    if prefix.starts_with(scope.as_str()) {
        Some(prefix)
    } else {
        scope.starts_with(prefix).then_some(scope)
    }
}

/// Returns whether `earlier` applies to every call under `prefix` to which `rule` applies.
fn precedes(earlier: &WorkRule, rule: &WorkRule, prefix: &str) -> bool {
    (earlier.method.is_none() || earlier.method == rule.method)
        && prefix.starts_with(earlier.path_prefix.as_str())
}

/// Reports rules that never apply. A rule for non-idempotent calls after a broader idempotent rule
/// would have no effect, and a booking could run twice.
fn check_reachable(
    list: &FieldPath,
    rules: &[WorkRule],
    scopes: &[SharedName],
    problems: &mut ProblemList,
) {
    for (index, rule) in rules.iter().enumerate() {
        let prefixes: Vec<&str> =
            scopes.iter().filter_map(|scope| applicable_prefix(rule, scope)).collect();
        if prefixes.is_empty() {
            problems.report(
                &list.item(index).field("path_prefix"),
                format!("{} is outside the paths of the service", quoted(&rule.path_prefix)),
                "use a prefix within path_prefixes of the service",
            );
            continue;
        }
        let earlier_rules: Option<Vec<usize>> = prefixes
            .iter()
            .map(|prefix| rules[..index].iter().position(|other| precedes(other, rule, prefix)))
            .collect();
        if let Some(earlier_rule) =
            earlier_rules.and_then(|earlier_rules| earlier_rules.into_iter().min())
        {
            problems.report(
                &list.item(index),
                format!("never applies, because {} matches first", list.item(earlier_rule)),
                "move the narrower rule up or remove one of them",
            );
        }
    }
}

fn check_catch_all(
    list: &FieldPath,
    rules: &[WorkRule],
    scopes: &[SharedName],
    problems: &mut ProblemList,
) {
    for scope in scopes {
        let covered = rules
            .iter()
            .any(|rule| rule.method.is_none() && scope.starts_with(rule.path_prefix.as_str()));
        if !covered {
            problems.report(
                list,
                format!("no rule covers every call under {}", quoted(scope)),
                "add a last rule without a method and with this path_prefix",
            );
        }
    }
}
