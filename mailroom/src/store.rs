//! What a process has of each source, and how it is passed on: the newest version of each, never one that is older than
//! what it had.

use crate::changes::{ListChange, ListChanges, WordChange, WordChanges};
use crate::clock::At;
use crate::words::{Ledger, List, Mail, Vector, Word, WordNo};
use std::rc::Rc;
use std::time::Duration;

#[derive(Clone, Debug, Default)]
pub struct Store {
    pub word: Option<Rc<Word>>,
    word_changes: WordChanges,
    list_changes: ListChanges,
    /// Changes that came lead nowhere from here: the next pull asks for a snapshot.
    lost_word: bool,
    lost_list: bool,
    pub list: Option<Rc<List>>,
    /// When the list was taken, at the latest.
    pub listed: At,
    pub ledger: Option<Rc<Ledger>>,
    pub ledger_at: At,
    /// When the word was certainly the newest acknowledged.
    pub sure: Option<At>,
    pub holder: Option<std::net::SocketAddr>,
}

/// What of a mail was new.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct News {
    pub word: bool,
    pub list: bool,
    pub ledger: bool,
}

impl News {
    pub fn any(self) -> bool {
        self.word || self.list || self.ledger
    }
}

impl Store {
    pub fn have(&self) -> Vector {
        let word = self.word.as_ref().filter(|_| !self.lost_word);
        let list = self.list.as_ref().filter(|_| !self.lost_list);
        Vector {
            word: word.map_or(WordNo(0), |word| word.no),
            list: list.map(|list| list.version).unwrap_or_default(),
            ledger: self.ledger.as_ref().map(|ledger| ledger.version).unwrap_or_default(),
        }
    }

    pub fn has_more_than(&self, have: &Vector) -> bool {
        let mine = self.have();
        mine.word > have.word || mine.list > have.list || mine.ledger > have.ledger
    }

    pub fn set_word(&mut self, word: Rc<Word>) -> bool {
        let newer = self.word.as_ref().is_none_or(|mine| word.no > mine.no);
        if newer {
            self.word_changes.moved(self.word.as_deref(), &word);
            (self.word, self.lost_word) = (Some(word), false);
        }
        newer
    }

    fn follow_word(&mut self, changes: Vec<WordChange>) -> bool {
        let followed = self.word.as_deref().and_then(|word| self.word_changes.follow(word, changes));
        self.lost_word = followed.is_none();
        let changed = followed.is_some();
        self.word = followed.map(Rc::new).or(self.word.take());
        changed
    }

    fn follow_list(&mut self, changes: Vec<ListChange>, now: At) -> bool {
        let taken = changes.last().map(|last| now.before(Duration::from_millis(last.age_ms))).unwrap_or(now);
        let times = (self.listed, taken);
        let followed = self.list.as_deref().and_then(|list| self.list_changes.follow(list, changes, times));
        self.lost_list = followed.is_none();
        let changed = followed.is_some();
        if let Some(list) = followed {
            (self.list, self.listed) = (Some(Rc::new(list)), taken);
        }
        changed
    }

    pub fn set_list(&mut self, list: List, now: At) -> bool {
        let newer = self.list.as_ref().is_none_or(|mine| list.version > mine.version);
        if newer {
            let taken = now.before(Duration::from_millis(list.age_ms));
            self.list_changes.moved(self.list.as_deref(), &list, (self.listed, taken));
            (self.list, self.listed, self.lost_list) = (Some(Rc::new(list)), taken, false);
        }
        newer
    }

    pub fn set_ledger(&mut self, ledger: Ledger, now: At) -> bool {
        let newer = self.ledger.as_ref().is_none_or(|mine| ledger.version > mine.version);
        if newer {
            (self.ledger, self.ledger_at) = (Some(Rc::new(ledger)), now);
        }
        newer
    }

    /// The word in hand was certainly the newest then.
    pub fn be_sure(&mut self, at: At) {
        self.sure = self.sure.max(Some(at));
    }

    /// Takes an answer to a pull that was sent at `asked`: the answer was given no sooner than it was held back for.
    pub fn absorb(&mut self, mail: Mail, asked: At, now: At) -> News {
        let Mail { word, word_changes, list, list_changes, ledger, sure_ms, held_ms, holder } = mail;
        let mut news = News::default();
        if let Some(word) = word {
            news.word = self.set_word(Rc::new(word));
        } else if !word_changes.is_empty() {
            news.word = self.follow_word(word_changes);
        }
        if let Some(list) = list {
            news.list = self.set_list(list, now);
        } else if !list_changes.is_empty() {
            news.list = self.follow_list(list_changes, now);
        }
        if let Some(ledger) = ledger {
            news.ledger = self.set_ledger(ledger, now);
        }
        // How sure it is is said of the word that came.
        if let Some(sure) = sure_ms.filter(|_| !self.lost_word) {
            let given = asked.after(Duration::from_millis(held_ms));
            self.be_sure(given.before(Duration::from_millis(sure)));
        }
        self.holder = holder.or(self.holder);
        news
    }

    /// What a reader lacks: what changed, where it is little behind; `verbatim`: the word as it was sent.
    pub fn mail(&self, have: &Vector, verbatim: bool, held: Duration, now: At) -> Mail {
        let age = now.since(self.listed);
        let newer_word = self.word.as_ref().filter(|word| word.no > have.word);
        let newer_list = self.list.as_ref().filter(|list| list.version > have.list);
        let word_changes = newer_word.filter(|_| !verbatim).and_then(|_| self.word_changes.since(have.word));
        let list_changes = newer_list.and_then(|_| self.list_changes.since(have.list, self.listed, now));
        let word = newer_word.filter(|_| word_changes.is_none());
        let list = newer_list.filter(|_| list_changes.is_none()).map(|list| {
            let age_ms = age.as_millis() as u64;
            List { age_ms, ..List::clone(list) }
        });
        let ledger = self.ledger.as_ref().filter(|ledger| ledger.version > have.ledger);
        // Rounded so that nothing is taken for surer than it is.
        let sure_ms = self.sure.map(|sure| now.since(sure).as_millis() as u64 + 1);
        Mail {
            word: word.map(|word| Word::clone(word)),
            word_changes: word_changes.unwrap_or_default(),
            list,
            list_changes: list_changes.unwrap_or_default(),
            ledger: ledger.map(|ledger| Ledger::clone(ledger)),
            sure_ms,
            held_ms: held.as_millis() as u64,
            holder: self.holder,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::words::{Ballot, Version};

    fn word(no: u64) -> Word {
        Word { no: WordNo(no), ..Word::none() }
    }

    #[test]
    fn nothing_goes_back_a_version() {
        let mut store = Store::default();
        let at = At(1_000_000_000);
        let mail = |no| Mail { word: Some(word(no)), ..Mail::default() };
        assert!(store.absorb(mail(3), at, at).word);
        assert!(!store.absorb(mail(2), at, at).any());
        let of = |ballot, no| Ledger { version: Version { ballot: Ballot(ballot), no }, ..Ledger::default() };
        assert!(store.set_ledger(of(1, 9), at) && store.set_ledger(of(2, 1), at));
        assert!(!store.set_ledger(of(1, 10), at), "of a holder before");
        let have = store.have();
        assert!(!store.has_more_than(&have));
        assert!(store.mail(&have, false, Duration::ZERO, at).ledger.is_none());
    }

    #[test]
    fn how_sure_a_word_is_adds_up_along_the_way() {
        let (mut first, mut second) = (Store::default(), Store::default());
        let start = At(1_000_000_000);
        first.be_sure(start);
        let ms = |ms| Duration::from_millis(ms);
        // Asked at 100 ms by the second's clock, which is 7 s behind; held back for 300 ms, 20 ms under way.
        let behind = At(start.0 - 70_000);
        let answered = start.after(ms(420));
        let mail = first.mail(&Vector::default(), false, ms(300), answered);
        second.absorb(mail, behind.after(ms(100)), behind.after(ms(440)));
        let sure = second.sure.expect("told");
        assert!(sure <= behind, "never surer than the first was");
        assert!(behind.since(sure) <= ms(30), "and little less");
    }
}
