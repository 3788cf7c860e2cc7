//! The numbered result codes of the tier. `docs/codes.md` is generated from this table.

use serde::{Deserialize, Serialize};
use strum::{EnumIter, IntoEnumIterator, IntoStaticStr};

/// What a result code states about the execution of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum ExecutionStatus {
    /// The request was executed; the response is its outcome.
    Done,
    /// The request was not executed and never will be.
    NotRun,
    /// The request may have been executed, or may still be running.
    MayHaveRun,
    /// The request is a change that may still be decided.
    Undecided,
}

/// One line for each code: name, number, HTTP status, execution status, seconds for `Retry-After`
/// (0: no header), meaning.
macro_rules! codes {
    ($($name:ident = $number:literal, $http:literal, $status:ident, $retry_after:literal, $text:literal;)*) => {
        /// A result code. Its number and name are part of the interface.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, EnumIter, IntoStaticStr, Serialize, Deserialize)]
        pub enum Code { $(#[doc = $text] $name = $number),* }

        impl Code {
            /// The HTTP status of a response with this code.
            pub fn http(self) -> u16 { match self { $(Code::$name => $http),* } }

            /// What the code states about the execution of the request.
            pub fn execution(self) -> ExecutionStatus { match self { $(Code::$name => ExecutionStatus::$status),* } }

            /// Seconds after which a retry may succeed; 0 if a retry does not help.
            pub fn retry_after_s(self) -> u64 { match self { $(Code::$name => $retry_after),* } }

            /// The description of the code in responses to callers.
            pub fn text(self) -> &'static str { match self { $(Code::$name => $text),* } }
        }
    };
}

codes! {
    Done = 1000, 200, Done, 0, "done";
    BadBody = 2001, 400, NotRun, 0, "the body is not the JSON that this path takes";
    BadField = 2002, 400, NotRun, 0, "a field is missing or out of range";
    TooLarge = 2003, 413, NotRun, 0, "the head or body is larger than allowed";
    TooSlow = 2004, 408, NotRun, 0, "the job was not sent whole in time";
    UnknownProgram = 2005, 404, NotRun, 0, "no such program family";
    UnknownService = 2006, 404, NotRun, 0, "no such service or method";
    BadHorizon = 2007, 400, NotRun, 0, "the horizon is missing or out of range";
    UnknownPath = 2008, 404, NotRun, 0, "no such path";
    WrongVerb = 2009, 405, NotRun, 0, "the path does not take this method";
    WrongBudget = 2010, 400, NotRun, 0, "the program may not spend from this budget";
    OtherBody = 2011, 409, NotRun, 0, "this job id was used with another body";
    BadHead = 2012, 400, NotRun, 0, "the head is not HTTP/1.1";
    UnknownRoute = 2013, 404, NotRun, 0, "no route for this host and path";
    UnknownTurn = 2014, 404, NotRun, 0, "the turn that it goes on from was not answered, or is no longer kept";
    LineFull = 3001, 503, NotRun, 1, "the waiting line is full";
    TooLate = 3002, 503, NotRun, 1, "it could not start and finish within its horizon";
    NotServing = 3003, 503, NotRun, 1, "this front cannot prove that its configuration is in force";
    SessionBusy = 3004, 409, NotRun, 1, "another turn of the session is running";
    BudgetSpent = 3005, 402, NotRun, 0, "the budget is spent";
    NoServer = 3006, 503, NotRun, 1, "no server of the service may take it now";
    StoreAway = 3007, 503, NotRun, 1, "the session's state cannot be reached";
    Leaving = 3008, 503, NotRun, 1, "this front is closing";
    TooMany = 3009, 503, NotRun, 1, "too many open connections";
    SessionFull = 3010, 409, NotRun, 0, "the session has used all the job ids that are remembered; begin a new one";
    MayHaveRun = 4001, 502, MayHaveRun, 0, "it was sent to a server whose outcome was lost";
    StillRunning = 4002, 409, MayHaveRun, 1, "this job is still running";
    Forgotten = 4003, 410, MayHaveRun, 0, "it was run; its outcome is no longer kept";
    Cancelled = 4004, 410, MayHaveRun, 0, "its caller left and its run was cut short; ask again under a new id";
    Expired = 4005, 504, MayHaveRun, 0, "it was sent to a server that did not answer by its deadline";
    Undecided = 5001, 503, Undecided, 1, "it is not yet known whether the change holds";
    Conflict = 6001, 409, NotRun, 0, "the named version is not the newest";
    BadConfig = 6002, 422, NotRun, 0, "the configuration is refused";
    NoVersion = 6003, 428, NotRun, 0, "If-Match must name the version being replaced";
    NotFounded = 6004, 503, NotRun, 2, "the tier has not been founded";
    NoMajority = 6005, 503, NotRun, 1, "no majority can be reached";
    BadLayout = 6006, 422, NotRun, 0, "the layout change is refused";
    NotOnDuty = 6007, 503, NotRun, 1, "this process does not propose; another one may";
}

impl Code {
    /// The number of the code.
    pub fn number(self) -> u16 {
        self as u16
    }

    /// All codes as a table in Markdown.
    pub fn table() -> String {
        let mut table = String::from(
            "| code | name | HTTP | says | Retry-After s | meaning |\n|---|---|---|---|---|---|\n",
        );
        for code in Code::iter() {
            let name: &str = code.into();
            let status: &str = code.execution().into();
            table += &format!(
                "| {} | {name} | {} | {status} | {} | {} |\n",
                code.number(),
                code.http(),
                code.retry_after_s(),
                code.text()
            );
        }
        table
    }
}
