package mintfield.core

/** Every constant of the program, with its unit and the reason for its value. */
object Tuning {
    // --- HTTP ---

    /** Bytes. Longer heads are no honest client's. */
    const val MAX_HEAD_BYTES = 8 * 1024

    /** Bytes. The protocol's bound on request bodies. */
    const val MAX_BODY_BYTES = 64 * 1024

    /** Bytes. A page of the store holds at most 512 KiB. Watches have no bound: one that brings more is dropped, and what it
     *  would have told is read by pages. Parsed, an answer takes several times its size of a heap of 100 MB. */
    const val MAX_ANSWER_BYTES = 4 * 1024 * 1024

    /** Connections waiting to be accepted, at the least; more where more are served. A burst after an outage should not be refused
     *  by the kernel. */
    const val ACCEPT_BACKLOG = 1_024

    /** Milliseconds before an address that cannot be listened on is tried again. */
    const val BIND_RETRY_MS = 250L

    /** Connections taken in a row, ahead of other events. A controller that takes over is tried by all workers within a second. */
    const val ACCEPTS_IN_ROW = 16

    /** Milliseconds to rest after a failed accept, so that lack of sockets does not become a busy loop. */
    const val ACCEPT_PAUSE_MS = 50L

    /** Bytes read at once from a client; heartbeats of a busy machine fit in one or two reads. */
    const val SERVER_READ_BYTES = 4 * 1024

    /** Bytes read at once from a server. */
    const val CLIENT_READ_BYTES = 8 * 1024

    /** Milliseconds that a connection may rest between requests; users poll every 5 s. */
    const val SERVER_IDLE_MS = 60_000L

    /** Milliseconds between looks at the connections for those that rest or take too long; a timer each would cost more. */
    const val SERVER_SWEEP_MS = 1_000L

    /** Milliseconds for a begun message to be whole, and for an answer to be taken. */
    const val SERVER_SLOW_MS = 10_000L

    /** Milliseconds after which a kept client connection is not trusted any more. */
    const val CLIENT_IDLE_MS = 20_000L

    /** Share of `max_sockets` given to connections that come in; the rest stays free for those going out. */
    const val INCOMING_SOCKET_SHARE = 0.7

    /** Share of those connections from which on workers' connections are closed after each answer. A worker that finds no room tries
     *  the next controller a second later, and its lease may end; one that connects anew for each heartbeat needs a socket for
     *  milliseconds only. */
    const val SHORT_CONNECTIONS_SHARE = 0.8

    // --- Memory ---

    /** Bytes of heap that a leader takes whatever its fleet, and for each machine with the tasks that it holds and the jobs that these
     *  belong to; by `FleetSize`, see docs/fleet-size.md. */
    const val HEAP_BASE_BYTES = 40L * 1024 * 1024
    const val HEAP_BYTES_PER_MACHINE = 14L * 1024

    // --- Leadership ---

    /** Milliseconds that the leader key lives without renewal. Workers' leases last 10 s in both deployments, so a
     *  successor must be elected well before that; a shorter life risks losing the lead to a slow moment. */
    const val LEADER_LEASE_MS = 3_500L

    /** Milliseconds between renewals: three may fail before the lease ends. */
    const val LEADER_RENEW_MS = 800L

    /** Milliseconds taken off the lease when counting it: drift of clocks and steps of timers. */
    const val LEASE_MARGIN_MS = 150L

    /** Bound on the drift between two steady clocks (protocol: 0.05 %), doubled. */
    const val CLOCK_DRIFT = 0.001

    /** Milliseconds within which candidates spread their first try, so that they do not all write at once. */
    const val ELECTION_SPREAD_MS = 250L

    /** Milliseconds that the watch of the leader key stays open. */
    const val LEADER_WATCH_MS = 20_000L

    /** Attempt numbers of a term start at term times this; more rounds than that never fit into one term. */
    const val ATTEMPTS_PER_TERM = 65_536L

    /** Milliseconds between two raisings of the term: each costs a write and a heartbeat of every worker. */
    const val RAISE_TERM_GAP_MS = 2_000L

    /** Milliseconds after the start for which the clients' port stays closed while no leader is known: longer than an election
     *  takes, and short enough for a controller that starts in an outage to relay heartbeats. */
    const val LISTEN_WITHOUT_LEADER_MS = 1_500L

    /** Milliseconds between looks whether a leader is known. */
    const val LISTEN_STEP_MS = 20L

    /** Milliseconds after its start from which on a controller has compiled what it runs most, and renews and replays at once. */
    const val WARMED_UP_MS = 30_000L

    /** Milliseconds without a worker's first heartbeat after which a new leader replays, the most that it waits for that, and between
     *  two looks. Replaying takes the processor for a second or more on a small machine, while workers' leases run out. */
    const val RENEWALS_QUIET_MS = 300L
    const val RENEWALS_FIRST_MS = 2_500L
    const val RENEWALS_STEP_MS = 50L

    // --- Store ---

    /** Milliseconds to wait for an answer; it usually takes 10, at times a few hundred. */
    const val STORE_TIMEOUT_MS = 1_500L

    /** Milliseconds before a refused or failed call is tried again. */
    const val STORE_RETRY_MS = 250L

    /** Share of the permitted writes that the leader's own progress may take; the rest is for accepts. */
    const val LEADER_WRITE_SHARE = 0.8

    /** The same while changes of users wait at any controller, or the store refuses writes as too many. A leader that
     *  went on as before would take every permit as it comes, and a batch of users' changes never find enough at once. */
    const val LEADER_WRITE_SHARE_YIELDING = 0.4

    /** Milliseconds for which the leader yields after it was last told of a reason to. */
    const val YIELD_MS = 2_000L

    /** Bytes of a transaction; the protocol's bound is 64 KiB in total. */
    const val MAX_TXN_BYTES = 56 * 1024

    /** Milliseconds that the leader's watch of the jobs stays open. An open watch proves nothing of what it has not brought, so
     *  this bounds how far the leader's knowledge of cancellations lags behind; each costs one request. */
    const val JOBS_WATCH_MS = 3_000L

    /** Share of the permitted requests that one node may spend on checks that its view is current. */
    const val CHECK_SHARE = 0.08

    /** Final states kept in memory; others are read from the store when asked for. */
    const val MAX_CACHED_FINALS = 10_000

    /** Milliseconds between writings of what the leader has learned; while it takes several values, in which each of them is written
     *  once, but no more often than the second. */
    const val HINTS_MS = 10_000L
    const val HINTS_LEAST_MS = 1_000L

    /** Entries asked for in one page of a listing. */
    const val PAGE = 500

    // --- Users ---

    /** Submissions and aborts that may wait at one node; more are refused at once. */
    const val MAX_WAITING_CHANGES = 256

    /** Milliseconds that a change may wait for the store before its user is told to come back. */
    const val CHANGE_PATIENCE_MS = 2_500L

    /** Milliseconds that a poll may wait for a check (its user waits 2 s). */
    const val POLL_PATIENCE_MS = 1_700L

    /** Writes in one transaction of users' changes that is tried again after the store refused it as too many: the
     *  permits for a large one may never be there at once. Doubles with each success. */
    const val CHANGE_LEAST_OPS = 2

    /** Share of the permitted writes that users' changes at one node may take. */
    const val CHANGE_WRITE_SHARE = 0.7

    /** Transactions with changes of users that one node has under way at once. */
    const val CHANGE_LANES = 2

    /** Times its expected run time that a job of a pipeline is given, as its slowest task ends it; and milliseconds to start it. */
    const val STAGE_RUN = 1.3
    const val STAGE_START_MS = 1_500.0

    /** Milliseconds before the last moment at which a job of a pipeline can begin and be in time from which on it displaces others with its
     *  inherited priority, and after which it does so no more. */
    const val STAGE_PRESSING_MS = 8_000.0

    /** Milliseconds after which inherited deadlines are reckoned anew, since run times are learned meanwhile. */
    const val INHERITANCE_MS = 2_000L

    /** Milliseconds between two looks at which generation the other controllers run, while that is asked for and not known. */
    const val VERSION_RETRY_MS = 1_000L

    /** Seconds after which a refused user should come back. */
    const val RETRY_AFTER_S = 1

    // --- Workers ---

    /** A heartbeat comes after `report_s` give or take a quarter (protocol), so after this many times it at the latest. */
    const val REPORT_SPREAD = 1.25

    /** Milliseconds without a heartbeat after which a machine gets no new tasks, at the least. */
    const val FRESH_REPORT_MS = 4_000L

    /** Milliseconds beyond the longest honest interval: a lost packet is sent again after up to a second or two. */
    const val FRESH_SLACK_MS = 2_500L

    /** Milliseconds to wait for the answer to a direct command. */
    const val DIRECT_TIMEOUT_MS = 1_500L

    /** Milliseconds without direct commands to a worker that left one unanswered. */
    const val DIRECT_PAUSE_MS = 5_000L

    /** Direct commands in a row without an answer from which on the network is blamed. Each leaves its machine in doubt until
     *  the term has risen; hanging machines among healthy ones are rarely asked so many times in a row. */
    const val DIRECT_LOST = 6

    /** Milliseconds between tries after that. */
    const val DIRECT_LOST_PAUSE_MS = 2_000L

    /** Direct commands under way at once, at the least, and as a share of the sockets: each needs one, and when dozens of
     *  machines hang each holds its place until it times out. */
    const val LEAST_DIRECT_CALLS = 32
    const val DIRECT_SOCKET_SHARE = 0.02

    /** Share of the sockets that may rest in kept connections to workers, so that a command need not open one. */
    const val WORKER_SOCKET_SHARE = 0.12

    /** Milliseconds added before a worker's lease counts as certainly expired. */
    const val WORKER_LEASE_MARGIN_MS = 500L

    /** Answers in a row that a machine must have missed to count as unreachable; a single one gets lost now and then. */
    const val DEAF_ANSWERS = 2

    /** Milliseconds between calls that ask a unreachable machine whether it hears again. */
    const val DEAF_PROBE_MS = 4_000L

    /** Milliseconds without new tasks after a machine hears again, doubled with each time that it was unreachable. */
    const val DEAF_PAUSE_MS = 2_000L

    /** Times that this pause is doubled at the most. */
    const val DEAF_DOUBLINGS = 5

    /** Milliseconds after which a unreachable machine is returned: cuts mostly last for less, a new machine boots in about that. */
    const val DEAF_RETURN_MS = 45_000L

    /** Deaf machines up to which, in number or as a share of all, the machines are blamed and not the network. */
    const val DEAF_FEW = 2
    const val DEAF_SHARE = 0.05

    /** Share of `cancel_s` after which a machine where a cancelled task does not stop is returned, as the last proof. */
    const val CANCEL_SHARE = 0.5

    // --- Placement ---

    /** Milliseconds between rounds; a write under way widens them further. */
    const val ROUND_MS = 40L

    /** Milliseconds between rounds when only arrays wait: their slots come free one by one, and each round costs a write
     *  for every job that it touches. */
    const val ARRAY_ROUND_MS = 250L

    /** The same while writes are scarce. */
    const val ARRAY_ROUND_BUSY_MS = 500L

    /** Tasks placed in one round at most, so that one round's work and write stay bounded: at the least, and for each CPU of the
     *  machines that heartbeat. Four rounds a second then fill every CPU with a task of its own within 25 s. */
    const val ROUND_TASKS = 400
    const val ROUND_TASKS_PER_CPU = 0.01

    /** Milliseconds that a done task may wait for a round to be written with. The worker keeps the result until then. */
    const val DONE_BATCH_MS = 1_500L

    /** The same while writes are scarce: accepts come first, and one write then tells of more tasks. */
    const val DONE_BATCH_BUSY_MS = 4_000L

    /** Milliseconds after which what a round record still tells is told anew by a later one, so that few rounds must be
     *  read by a successor. Most arrays have ended by then. */
    const val ROUND_KEEP_MS = 45_000L

    /** Guards that the store allows in a transaction for each write that it allows; each job in a round needs one. */
    const val GUARDS_PER_WRITE = 4

    /** Share of a value's permitted size that a round record is filled to. */
    const val VALUE_FILL = 0.9

    /** Share of a transaction's writes that must be free for writes not to count as scarce. */
    const val PLENTY_SHARE = 0.6

    /** Milliseconds after which a job that has not begun gets a few tasks before all others. Users expect even the largest
     *  to begin within four minutes; much earlier costs nothing, since the few tasks are work that must be done anyway. */
    const val BEGIN_MS = 90_000L

    /** Part of a job's tasks, but at least one, that it then gets. */
    const val BEGIN_SHARE = 0.02

    /** Milliseconds after which a job counts as put off for long, and has a part in [OLD_SHARE]. */
    const val OLD_MS = 240_000L

    /** Share of the CPUs that such jobs have together, the most that is given away from jobs that can still meet an aim. */
    const val OLD_SHARE = 0.05

    /** Share of an aim from which on missing it counts as a failure: few jobs may miss it, so each of them weighs more than
     *  one that misses a softer aim. */
    const val STRICT_SHARE = 0.98

    /** Milliseconds before a job must start at the latest, to meet its next strict aim, from which on it goes ahead. */
    const val PRESSING_MS = 15_000L

    /** Share of the CPUs that such a job is taken to get once it is ahead. */
    const val PRESSING_SHARE = 0.5

    /** Share of the CPUs that tasks of jobs ahead may hold. Without a bound, a day of losses let every job wait until it
     *  pressed, and two in five missed their first deadline. */
    const val AHEAD_SHARE = 0.35

    /** Times the expected run time that its last task is taken to need. */
    const val PRESSING_RUN = 1.5

    /** Free CPUs that arrays leave to new replicas: room for this many of the largest, or this share of the CPUs that
     *  replicas hold. One on each machine was 400 of 7,900 CPUs on the fleet of the print bureau. */
    const val RESERVE_REPLICAS = 32
    const val RESERVE_SHARE = 0.05

    /** Milliseconds between looks at timers of the core: silence, leases, scale-out requests. */
    const val TICK_MS = 250L

    /** Milliseconds before a job is tried again after a failure: whatever it was, another machine is to be tried. */
    const val FAILURE_PAUSE_MS = 500L

    /** Failures in a row, with no success, that set a machine aside, and from which on a machine is blamed for good. */
    const val SICK_FAILURES = 3

    /** Jobs not known to be broken that a machine must have failed in a row to be returned on that alone. */
    const val SICK_SUSPECTS = 4

    /** Healthy machines on which a job must fail, with no success anywhere, before the job itself is suspect. */
    const val BAD_JOB_MACHINES = 3

    /** Failures of a job without any success after which it gets few tasks at a time, and how many, until it is known whether
     *  the job or the machines are at fault: enough to be tried on three machines at once. */
    const val CAREFUL_FAILURES = 3
    const val CAREFUL_TASKS = 4

    /** Tasks at a time of a job that fails everywhere: one could be struck by a faulty machine. */
    const val TRIAL_TASKS = 2

    /** Milliseconds between tries of such a job, doubled with each up to the maximum: its user mostly cancels it soon, and a
     *  job that could run after all should not wait for long. */
    const val TRIAL_PAUSE_MS = 2_000L
    const val TRIAL_PAUSE_MAX_MS = 30_000L

    /** Milliseconds that a task must run, at the least, to speak for a job that has only failed. */
    const val SOUND_RUN_MS = 5_000L

    /** Milliseconds that a machine which failed several jobs gets no tasks, after which it is tried again. */
    const val SICK_PAUSE_MS = 20_000L

    /** The same if it failed one job only, which may be at fault itself: until that has been tried elsewhere. */
    const val SUSPECT_PAUSE_MS = 5_000L

    /** Waiting CPUs, as a share of all, from which on a slot is too dear to wait for a fetch; below, a task that could
     *  start is better off fetching than waiting. */
    const val CROWDED_SHARE = 0.4

    /** Milliseconds after a failover for which a task waits for machines that hold its image to report, at the least. */
    const val SETTLE_MS = 3_000L

    /** Share of a machine's CPUs that replicas fill while others will do. With half of it, a lost machine cost twice the
     *  replica time, and their images were on fewer machines. */
    const val SPREAD_SHARE = 0.25

    /** CPUs of machines with a job's image, per CPU that its waiting tasks need, from which on it waits for those. */
    const val IMAGE_ROOM = 1.0

    /** Seconds of fetching that are worth having whatever the wait elsewhere: finding out of a free slot takes as long. */
    const val FETCH_SLACK_S = 1.0

    /** Milliseconds without a place after which an array fetches its image wherever there is room: no fetch takes much longer, and
     *  users count a job as left waiting after 90 s. */
    const val IMAGE_PATIENCE_MS = 30_000L

    /** Weight of a job's first measured task in its class's ratio of truth to estimate; later tasks of it weigh less. */
    const val RATIO_WEIGHT = 0.3

    /** Measured tasks after which a job's own mean is believed. */
    const val MEASURED_ENOUGH = 3

    // --- Fleet ---

    /** Milliseconds of silence past its lease after which a machine is returned, if its zone is heard otherwise. Machines
     *  that hang for about their lease are back by then; a dead one holds a place that the cloud lets to nobody meanwhile. */
    const val SILENT_RETURN_SLACK_MS = 13_000L

    /** Milliseconds that a worker may need to find a leader: it tries the controllers in turn, and one that is cut off
     *  costs it 4 s. */
    const val FIND_LEADER_MS = 6_000L

    /** Milliseconds after which a machine that only a plan names is returned: it is most likely gone, and returning it
     *  only proves that. At the least, and beyond the longest honest interval between heartbeats. */
    const val UNLISTED_RETURN_MS = 5_000L
    const val UNLISTED_SLACK_MS = 4_000L

    /** The same when most of its zone is silent: a cut may end. */
    const val SILENT_ZONE_RETURN_MS = 90_000L

    /** Share of a zone's machines whose silence speaks of a cut instead of dead machines. */
    const val SILENT_ZONE_SHARE = 0.5

    /** Silent machines of a zone from which on its silence is written down. */
    const val DISOWN_LEAST = 3

    /** Milliseconds between looks for such zones: machines fall silent one by one, and each look may cost a write. */
    const val DISOWN_LOOK_MS = 1_000L

    /** Milliseconds that a heartbeat may wait until a record which names its machine is deleted, and between two looks. A relay
     *  waits 1.5 s, a worker 4 s. */
    const val DISOWN_WAIT_MS = 1_000L
    const val DISOWN_STEP_MS = 20L

    /** Milliseconds by which the times of day of two controllers, and the steps of their timers, may differ at the most. */
    const val WALL_MARGIN_MS = 500L

    /** Times its usual boot time after which a machine is late (protocol: usually 0.6 to 1.5 times), and milliseconds on top for
     *  the request and the first heartbeat. */
    const val LATE_TIMES = 1.75
    const val LATE_SLACK_MS = 3_000L

    /** Milliseconds for which a boot tells how long others will take: trouble of a cloud lasts for minutes. */
    const val BOOTS_REMEMBERED_MS = 180_000L

    /** Share of the CPUs there are that may be provisioned in place of late machines: if more are late, others would be as well. */
    const val LATE_SHARE = 0.15

    /** A machine that is not up after this many times its usual boot time is returned. */
    const val BOOT_PATIENCE = 4.0

    /** Milliseconds added to that. */
    const val BOOT_PATIENCE_MS = 30_000L

    /** Times its usual lag that a list may lag (protocol). */
    const val LIST_LAG_TIMES = 2.0

    /** Milliseconds between readings of the machine list. */
    const val LIST_MS = 5_000L

    /** Milliseconds between readings of the catalogue. */
    const val TYPES_MS = 60_000L

    /** Milliseconds for which "no capacity" for a type, zone and kind is believed. */
    const val NO_CAPACITY_MS = 20_000L

    /** The same at the most: each refusal in a row doubles it. */
    const val NO_CAPACITY_MAX_MS = 80_000L

    /** Milliseconds to wait for an answer of the cloud. */
    const val CLOUD_TIMEOUT_MS = 5_000L

    /** Milliseconds between cloud calls that fail. */
    const val CLOUD_RETRY_MS = 1_000L

    /** Share of the permitted cloud calls that the leader uses. */
    const val CLOUD_SHARE = 0.8

    /** Milliseconds for which the name of a returned machine is kept, lest a late heartbeat or list bring it back: reports may come
     *  minutes late. */
    const val GONE_KEPT_MS = 900_000L

    /** Machines asked for in one scale-out request, at the least allowed and as a share of those there are: many that fall together
     *  must not be replaced by eight at a time. */
    const val RENT_AT_ONCE = 8
    const val RENT_SHARE = 0.125

    /** The protocol's bound on the same. */
    const val RENT_AT_MOST = 50

    /** CPUs wanted per CPU in demand, when no aim speaks of the price. */
    const val HEADROOM = 1.6

    /** Milliseconds that an unneeded machine is kept. */
    const val IDLE_RETURN_MS = 180_000L

    /** The same when there is no unfinished job at all. */
    const val EMPTY_RETURN_MS = 40_000L

    // --- Sharing ---

    /** Milliseconds that a controller waits before it stands for a share whose home is another: an election of the home takes less. */
    const val HOME_FIRST_MS = 600L

    /** Milliseconds for which the home of a share must be up before another controller gives the share back: a failover costs a second
     *  without starts, and a home that ends again soon would cost more of them. */
    const val HOME_RETURN_MS = 20_000L

    /** Milliseconds that a controller waits longer for each share that it leads already, before it stands for another: the shares of one
     *  that is lost spread over the others. Elections take less. */
    const val LED_SHARE_STAND_MS = 150L

    /** Milliseconds that a drained controller waits before it stands for a share, since others come first; it stands all the same rather
     *  than leave a share without a leader. */
    const val DRAINED_STAND_MS = 8_000L

    /** Milliseconds for which another controller must be up before a drained one gives it a share, and between two shares: each costs
     *  its successor a replay. */
    const val DRAIN_HOLD_MS = 3_000L
    const val DRAIN_STEP_MS = 3_000L

    /** Milliseconds between two looks whether machines may be shared, while something of the time before stands against it. */
    const val ACTIVATION_RETRY_MS = 5_000L

    /** Milliseconds for which a machine must stand idle before it is given to a share that is short, and between two gifts: a round or
     *  two may leave it idle for a moment, and a machine that is given too soon comes back. */
    const val IDLE_GIVEN_MS = 5_000L
    const val REBALANCE_MS = 2_000L

    /** Share of its machines that a share gives at a time, but at least one. */
    const val REBALANCE_SHARE = 0.05

    /** Milliseconds for which it counts what a share said of its load. */
    const val LOAD_FRESH_MS = 5_000L

    /** Milliseconds for which a machine that was given counts as on its way: a move takes some 100 ms, at times 4 s, and the next note
     *  one more. */
    const val GRANT_COUNTS_MS = 6_000L

    /** Share of its due by which a share must have more, or less, before machines in use are moved for it: without that they would go
     *  back and forth with every job that ends. */
    const val FAIR_SLACK = 0.15

    /** Milliseconds for which a machine that has moved is not moved on while it is in use. */
    const val KEPT_AFTER_MOVE_MS = 20_000L

    /** Milliseconds for which a share must be short before a machine is given to it for its free room alone: no job is to wait 90 s while
     *  a machine has room, and mostly an idle machine is found sooner. */
    const val ROOM_PATIENCE_MS = 30_000L

    /** Blocks of the table of assignments. With 4,000 machines one holds some 31 of them; the fullest, with all of them moving, takes
     *  less than a value of 8 KiB. Not to be changed while a table exists. */
    const val ASSIGNMENT_BLOCKS = 128

    /** Milliseconds after which another share takes a machine without an owner if the one that should has no leader: an election with
     *  its replay takes less. */
    const val ABANDONED_MS = 15_000L

    /** Changes of assignments in one transaction: a conflict in one block fails them all. */
    const val ASSIGNMENT_CHANGES_AT_ONCE = 8

    /** Milliseconds between two looks at what is to change in the assignments. */
    const val ASSIGNMENT_STEP_MS = 100L

    /** Milliseconds after which an offer to a share without a leader is taken back: an election takes less. */
    const val OFFER_PATIENCE_MS = 8_000L

    /** Milliseconds between questions about tasks on machines that another share owns. */
    const val GUEST_QUERY_MS = 1_000L

    /** Milliseconds after a machine was adopted for which tasks of jobs that are not known yet are left alone. */
    const val GUEST_PATIENCE_MS = 5_000L

    // --- Peers ---

    /** Milliseconds between notes to the peers. */
    const val PEER_NOTE_MS = 1_000L

    /** Reports and requests on their way to one peer at once, at the least and for each socket. When workers lose the leader hundreds come to its peers
     *  within a second: those beyond wait their turn for some milliseconds, where each used to open a connection. */
    const val RELAY_LANES = 12
    const val RELAY_LANES_PER_SOCKET = 0.004

    /** Milliseconds since its last answer for which a leader counts as answering relays: one that stands still is not recommended
     *  to workers, who would wait 4 s there. */
    const val RELAY_ANSWERED_MS = 500L

    /** Connections that peers may open here, at the least; each peer needs its lanes and one or two for notes. */
    const val PEER_CONNECTIONS = 64
    const val PEER_SPARE_CONNECTIONS = 4

    /** Jobs whose progress one note tells, which keeps it within the bound on request bodies, and milliseconds for which what a
     *  note told counts: 10,000 jobs take five notes of a second each. */
    const val PROGRESS_PER_NOTE = 2_000
    const val PROGRESS_KEPT_MS = 30_000L

    /** Milliseconds to wait for a peer. */
    const val PEER_TIMEOUT_MS = 900L

    /** Milliseconds that a heartbeat on its way to the leader through a peer may take; its worker waits 4 s. */
    const val RELAY_TIMEOUT_MS = 1_500L

    /** Milliseconds of silence of a peer after which workers are kept from depending on it: one that was only restarted is
     *  back before. */
    const val PARK_AFTER_MS = 6_000L

    /** Milliseconds for which a worker that was sent to a peer is answered here if it is back. */
    const val PARK_AGAIN_MS = 20_000L

    /** Milliseconds that a redirected worker's heartbeat may take in all: until the leader's lease has ended and its successor is
     *  elected, which is then most likely the node that has the heartbeat. The worker waits 4 s. */
    const val PARKED_PATIENCE_MS = 3_500L
    const val PARKED_STEP_MS = 50L

    /** A worker heard directly within these milliseconds, at the least, is told to come directly again. */
    const val RELAY_AFTER_MS = 2_500L

    /** Milliseconds beyond the longest honest interval between heartbeats for the same. */
    const val RELAY_SLACK_MS = 1_250L

    /** Milliseconds for which a worker that was sent to another controller is not sent on again: if it is back before, it
     *  has not got through. */
    const val RELAY_AGAIN_MS = 12_000L

    /** Milliseconds between two workers of a zone that try whether the leader can be reached again. */
    const val SCOUT_MS = 5_000L

    /** Milliseconds past its lease after which a leader that reaches neither store nor peers sends workers away. */
    const val ISOLATED_MS = 2_000L

    /** Milliseconds kept from the time that a cancelled task may stay, when a leader that may have missed cancellations renews
     *  workers: timers and answers are late, and workers end their leases a little late. */
    const val RENEWAL_MARGIN_MS = 2_000L

    /** Jobs that users were last told are cancelled, kept for peers that lead, at the least; and as many times `cancel_s` of all
     *  changes that the store permits. A peer that reads once a second misses none. */
    const val CANCELLATIONS_KEPT = 4_000
    const val CANCELLATIONS_KEPT_TIMES = 3.0

    /** Entries of that log in one answer, at the least; and as many seconds of permitted changes. The rest comes with the next. */
    const val CANCELLATIONS_AT_ONCE = 1_000
    const val CANCELLATIONS_AT_ONCE_S = 2.0

    /** Leases between two times that such a leader sends the same worker away. */
    const val SEND_ON_LEASES = 2.0

    /** Milliseconds for which a peer's note counts. */
    const val PEER_FRESH_MS = 3_500L

    /** Milliseconds of refusal by the store after which a node whose peers are served stops taking users. */
    const val ALONE_REFUSED_MS = 2_000L

    /** Milliseconds between looks at the clock and the peers for the log, and by how much such a pause must be longer to speak
     *  of a controller that stood still: a busy one is late by some hundreds. */
    const val WATCH_MS = 500L
    const val STOOD_STILL_MS = 1_500L

    /** Milliseconds between summaries in the log. */
    const val SUMMARY_MS = 10_000L
}
